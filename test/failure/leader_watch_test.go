package failure_test

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	leaderWatchInterval = 100 * time.Millisecond
	leaderWatchTimeout  = 400 * time.Millisecond
)

// leaderWatch asks the control processes who of them leads, and records the times without a leader.
type leaderWatch struct {
	cell   *soakCell
	client *http.Client

	mu          sync.Mutex
	leader      *soakProcess // that has responded last
	seen        time.Time    // when a leader responded last
	withoutOnes []leaderless
}

// leaderless is a time in which no control process served reads of the configuration.
type leaderless struct{ from, to time.Time }

func newLeaderWatch(c *soakCell) *leaderWatch {
	return &leaderWatch{cell: c, client: &http.Client{
		Timeout: leaderWatchTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, seen: time.Now()}
}

// run watches until ctx is done.
func (w *leaderWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.look()
		select {
		case <-ctx.Done():
		case <-time.After(leaderWatchInterval):
		}
	}
	w.client.CloseIdleConnections()
}

// look asks the last leader, and then all others at once.
func (w *leaderWatch) look() {
	if last := w.last(); last != nil && w.leads(last) {
		w.found(last)
		return
	}
	var group sync.WaitGroup
	for _, p := range w.cell.currentControl() {
		group.Go(func() {
			if w.leads(p) {
				w.found(p)
			}
		})
	}
	group.Wait()
}

func (w *leaderWatch) leads(p *soakProcess) bool {
	response, err := w.client.Get("http://" + p.directAddress(12) + "/api/config")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// found records that a leader has responded.
func (w *leaderWatch) found(p *soakProcess) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.seen) > 2*(leaderWatchInterval+leaderWatchTimeout) {
		w.withoutOnes = append(w.withoutOnes, leaderless{w.seen, now})
	}
	w.leader, w.seen = p, now
}

// last returns the last leader; nil: none yet.
func (w *leaderWatch) last() *soakProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader
}

// without returns the time without a leader between two times.
func (w *leaderWatch) without(from, to time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := time.Duration(0)
	for _, one := range append(w.withoutOnes[:len(w.withoutOnes):len(w.withoutOnes)], leaderless{w.seen, time.Now()}) {
		begin, end := later(one.from, from), one.to
		if end.After(to) {
			end = to
		}
		total += max(0, end.Sub(begin))
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
