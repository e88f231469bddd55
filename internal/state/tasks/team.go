package tasks

import (
	"slices"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// teamAccount is the account of one team. An attempt counts as the team's own while
// the sum of own attempts stays within the quota. Beyond it, an attempt must
// be marked as borrowed: it uses what no other team claims and is the first to
// be preempted. Only work that can be preempted may borrow, which excludes
// services and non-idempotent tasks.
type teamAccount struct {
	hasQuota bool // a quota is configured
	quota    resources.Amount
	own      resources.Amount
	borrowed []*attempt // ordered by placement time, then id
}

// accountOf returns the account, which is made if there is none.
func (t *Table) accountOf(name string) *teamAccount {
	account, ok := t.teams[name]
	if !ok {
		account = &teamAccount{}
		t.teams[name] = account
	}
	return account
}

// admits reports whether the amount can count as the team's own.
func (m *teamAccount) admits(amount resources.Amount) bool {
	return !m.hasQuota || m.own.Plus(amount).FitsIn(m.quota)
}

// mayBorrow reports whether the job's attempts can be preempted.
func mayBorrow(spec *apiv1.Job) bool {
	return spec.GetKind() != apiv1.JobKind_JOB_KIND_SERVICE && !spec.GetNonIdempotent()
}

// addUsage charges the attempt to its team.
func (m *teamAccount) addUsage(a *attempt) {
	if !a.borrowed {
		m.own = m.own.Plus(a.amount)
		return
	}
	at, _ := slices.BinarySearchFunc(m.borrowed, a, comparePlacement)
	m.borrowed = slices.Insert(m.borrowed, at, a)
}

// removeUsage ends the charge.
func (m *teamAccount) removeUsage(a *attempt) {
	if !a.borrowed {
		m.own = m.own.Minus(a.amount)
		return
	}
	if at, ok := slices.BinarySearchFunc(m.borrowed, a, comparePlacement); ok {
		m.borrowed = slices.Delete(m.borrowed, at, at+1)
	}
}

func comparePlacement(a, b *attempt) int {
	if a.placedAt != b.placedAt {
		return int(a.placedAt - b.placedAt)
	}
	return strings.Compare(a.id, b.id)
}

// reclassifyBorrowed turns the oldest borrowed attempts into own ones while the quota
// holds them.
func (t *Table) reclassifyBorrowed(name string) {
	account := t.accountOf(name)
	for len(account.borrowed) > 0 && account.admits(account.borrowed[0].amount) {
		a := account.borrowed[0]
		account.borrowed = account.borrowed[1:]
		j := t.lockJob(a.job)
		t.lockWorker(a.worker)
		a.borrowed = false
		account.own = account.own.Plus(a.amount)
		t.markTaskChanged(j, j.tasks[a.index])
	}
}

// setTeams replaces the quotas.
func (t *Table) setTeams(specs []*apiv1.Team) {
	t.teamSpecs = specs
	for _, account := range t.teams {
		account.hasQuota = false
		account.quota = resources.Amount{}
	}
	for _, spec := range specs {
		account := t.accountOf(spec.GetName())
		account.hasQuota = spec.GetQuota() != nil
		account.quota = resources.Of(spec.GetQuota())
	}
	for _, name := range sortedKeys(t.teams) {
		t.reclassifyBorrowed(name)
		t.releaseLocks()
	}
	t.changes.markTeams(specs)
}
