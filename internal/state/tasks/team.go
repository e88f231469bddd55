package tasks

import (
	"slices"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// teamAccount tracks the quota and usage of one team. An attempt counts as the
// team's own as long as the sum of own attempts stays within the quota. An attempt
// beyond the quota must be marked as borrowed: it uses capacity that no other team
// claims and is the first to be preempted. Only attempts that can be preempted may
// borrow, which excludes services and non-idempotent tasks.
type teamAccount struct {
	hasQuota bool // a quota is configured
	quota    resources.Amount
	own      resources.Amount // used by own attempts
	borrowed []*attempt       // ordered by placement time, then id
}

// accountOf returns the team's account and creates it if there is none.
func (t *Table) accountOf(name string) *teamAccount {
	account, ok := t.teams[name]
	if !ok {
		account = &teamAccount{}
		t.teams[name] = account
	}
	return account
}

// admits reports whether the amount fits into the team's quota beside its own
// attempts.
func (account *teamAccount) admits(amount resources.Amount) bool {
	return !account.hasQuota || account.own.Plus(amount).FitsIn(account.quota)
}

// mayBorrow reports whether the job's attempts may exceed the team's quota, which
// requires that they can be preempted.
func mayBorrow(spec *apiv1.Job) bool {
	return spec.GetKind() != apiv1.JobKind_JOB_KIND_SERVICE && !spec.GetNonIdempotent()
}

// addUsage adds the attempt to the team's usage.
func (account *teamAccount) addUsage(a *attempt) {
	if !a.borrowed {
		account.own = account.own.Plus(a.amount)
		return
	}
	i, _ := slices.BinarySearchFunc(account.borrowed, a, comparePlacement)
	account.borrowed = slices.Insert(account.borrowed, i, a)
}

// removeUsage removes the attempt from the team's usage.
func (account *teamAccount) removeUsage(a *attempt) {
	if !a.borrowed {
		account.own = account.own.Minus(a.amount)
		return
	}
	if i, ok := slices.BinarySearchFunc(account.borrowed, a, comparePlacement); ok {
		account.borrowed = slices.Delete(account.borrowed, i, i+1)
	}
}

func comparePlacement(a, b *attempt) int {
	if a.placedAt != b.placedAt {
		return int(a.placedAt - b.placedAt)
	}
	return strings.Compare(a.id, b.id)
}

// reclassifyBorrowed turns borrowed attempts into own ones, oldest first, while
// they fit into the quota.
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

// setTeams replaces the quotas of all teams.
func (t *Table) setTeams(specs []*apiv1.Team) {
	t.teamSpecs = specs
	for _, account := range t.teams {
		account.hasQuota = false
		account.quota = resources.Amount{}
	}
	for _, spec := range specs {
		account := t.accountOf(spec.GetName())
		account.hasQuota = spec.GetQuota() != nil
		account.quota = resources.FromMessage(spec.GetQuota())
	}
	for _, name := range sortedKeys(t.teams) {
		t.reclassifyBorrowed(name)
		t.releaseLocks()
	}
	t.changes.markTeams(specs)
}
