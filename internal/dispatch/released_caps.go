package dispatch

import "sync"

// releasedCaps holds the workspaces of which a pool has held units back and whose caps may permit more since. The ledger
// adds them while runs of any pool end.
type releasedCaps struct {
	mu         sync.Mutex // taken last
	workspaces map[string]struct{}
}

func (r *releasedCaps) add(workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workspaces == nil {
		r.workspaces = make(map[string]struct{})
	}
	r.workspaces[workspace] = struct{}{}
}

// takeAll returns the workspaces and removes them.
func (r *releasedCaps) takeAll() map[string]struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.workspaces
	r.workspaces = nil
	return taken
}
