package tasks

import (
	"slices"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// team is the account of one team. An attempt counts as the team's own while
// the sum of own attempts stays within the quota. Beyond it, an attempt must
// be marked as borrowed: it uses what no other team claims and is the first to
// be preempted. Only work that can be preempted may borrow, which excludes
// services and non-idempotent tasks.
type team struct {
	limited  bool // a quota is configured
	quota    resources.Amount
	own      resources.Amount
	borrowed []*attempt // ordered by placement time, then id
}

// team returns the account, which is made if there is none.
func (t *Table) team(name string) *team {
	account, ok := t.teams[name]
	if !ok {
		account = &team{}
		t.teams[name] = account
	}
	return account
}

// admits reports whether the amount can count as the team's own.
func (m *team) admits(amount resources.Amount) bool {
	return !m.limited || m.own.Plus(amount).FitsIn(m.quota)
}

// mayBorrow reports whether the job's attempts can be preempted.
func mayBorrow(spec *apiv1.Job) bool {
	return spec.GetKind() != apiv1.JobKind_JOB_KIND_SERVICE && !spec.GetNonIdempotent()
}

// take charges the attempt to its team.
func (m *team) take(a *attempt) {
	if !a.borrowed {
		m.own = m.own.Plus(a.amount)
		return
	}
	at, _ := slices.BinarySearchFunc(m.borrowed, a, byPlacement)
	m.borrowed = slices.Insert(m.borrowed, at, a)
}

// give ends the charge.
func (m *team) give(a *attempt) {
	if !a.borrowed {
		m.own = m.own.Minus(a.amount)
		return
	}
	if at, ok := slices.BinarySearchFunc(m.borrowed, a, byPlacement); ok {
		m.borrowed = slices.Delete(m.borrowed, at, at+1)
	}
}

func byPlacement(a, b *attempt) int {
	if a.placedAt != b.placedAt {
		return int(a.placedAt - b.placedAt)
	}
	return strings.Compare(a.id, b.id)
}

// redeem turns the oldest borrowed attempts into own ones while the quota
// holds them.
func (t *Table) redeem(name string) {
	account := t.team(name)
	for len(account.borrowed) > 0 && account.admits(account.borrowed[0].amount) {
		a := account.borrowed[0]
		account.borrowed = account.borrowed[1:]
		j := t.job(a.job)
		t.worker(a.worker)
		a.borrowed = false
		account.own = account.own.Plus(a.amount)
		t.dirtyTask(j, j.tasks[a.index])
	}
}

// setTeams replaces the quotas.
func (t *Table) setTeams(specs []*apiv1.Team) {
	t.teamSpecs = specs
	for _, account := range t.teams {
		account.limited = false
		account.quota = resources.Amount{}
	}
	for _, spec := range specs {
		account := t.team(spec.GetName())
		account.limited = spec.GetQuota() != nil
		account.quota = resources.FromMessage(spec.GetQuota())
	}
	for _, name := range ids(t.teams) {
		t.redeem(name)
		t.release()
	}
	t.changes.teams(specs)
}
