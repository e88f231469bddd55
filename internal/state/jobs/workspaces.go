package jobs

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// publish replaces the catalog if the published version is newer. Workspaces that it
// lacks stay, without keys, while they have unfinished jobs.
func (t *Table) publish(published *apiv1.Catalog) {
	current := t.Catalog()
	if published.GetVersion() <= current.Version() {
		return
	}
	if removed := t.removedWorkspaces(current, published); len(removed) > 0 {
		published = proto.CloneOf(published) // the log owns the original
		published.Workspaces = append(published.Workspaces, removed...)
	}
	t.catalog.Store(newCatalog(published))
}

// removedWorkspaces returns the workspaces of the current catalog that the published one
// lacks and that have unfinished jobs, in the order of the current catalog.
func (t *Table) removedWorkspaces(current *Catalog, published *apiv1.Catalog) []*apiv1.Workspace {
	remaining := make(map[string]bool, len(published.GetWorkspaces()))
	for _, workspace := range published.GetWorkspaces() {
		remaining[workspace.GetName()] = true
	}
	var missing []*apiv1.Workspace
	for _, workspace := range current.Workspaces() {
		if !remaining[workspace.GetName()] {
			missing = append(missing, workspace)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	unfinished := t.workspacesWithUnfinishedJobs()
	var removed []*apiv1.Workspace
	for _, workspace := range missing {
		if unfinished[workspace.GetName()] {
			kept := proto.CloneOf(workspace)
			kept.KeyDigests, kept.Removed = nil, true
			removed = append(removed, kept)
		}
	}
	return removed
}

func (t *Table) workspacesWithUnfinishedJobs() map[string]bool {
	unfinished := make(map[string]bool)
	t.forEach(func(j *job) {
		if !j.finished() {
			unfinished[j.accepted.GetWorkspace()] = true
		}
	})
	return unfinished
}

// mayAccept reports whether the catalog in force allows the submission of the job with the
// key. The job may have been proposed before a catalog that was committed first: it would
// otherwise run with a key that has been removed, or in a workspace without a cap.
func (t *Table) mayAccept(accepted *apiv1.CallerJob, keyDigest []byte) bool {
	catalog := t.Catalog()
	owner := catalog.WorkspaceOf(keyDigest)
	if owner == nil {
		return accepted.GetWorkspace() == "" && (!catalog.RequiresKeys() || catalog.publicQueues[accepted.GetQueue().GetName()])
	}
	return owner.GetName() == accepted.GetWorkspace()
}

// WorkspaceOf returns the workspace of a job, empty if it has none, and false if no such
// job is known.
func (t *Table) WorkspaceOf(id string) (string, bool) {
	s := t.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.accepted.GetWorkspace(), true
}

// IsOpenTo reports whether a caller with a key of the workspace may act on the job,
// judged by the catalog; the workspace is empty for a caller without a key. A job
// without a workspace and one whose queue is public are open to all callers. It
// returns false if no such job is known.
func (t *Table) IsOpenTo(catalog *Catalog, id, workspace string) bool {
	s := t.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.jobs[id]
	if j == nil {
		return false
	}
	owner := j.accepted.GetWorkspace()
	return owner == "" || owner == workspace || catalog.publicQueues[j.accepted.GetQueue().GetName()]
}
