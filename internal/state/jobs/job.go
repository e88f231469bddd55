package jobs

import (
	"maps"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// job is one accepted job and its progress.
type job struct {
	accepted       *apiv1.CallerJob
	state          apiv1.JobState // unspecified until it finishes
	finishedUnixMs int64
	steps          []*stepProgress // by occurrence, then step; an element is nil until a run of its step has ended
	remaining      int             // tasks not done; includes long-running ones
	started        bool            // not replicated, see Table.MarkBegun
}

// stepProgress is the progress of one step in one occurrence of the job.
type stepProgress struct {
	done        []byte            // by task index: 1 if the task is done
	failed      map[int32][]int64 // ids of failed runs, by progressIndex
	checkpoints map[int32]string  // last checkpoint, by progressIndex
	crashes     map[int32]Crashes // by task index, also in a gang: its members run on different workers
}

func newJob(accepted *apiv1.CallerJob) *job {
	occurrences := Occurrences(accepted.GetSpec())
	j := &job{accepted: accepted, steps: make([]*stepProgress, occurrences*len(accepted.GetSpec().GetSteps()))}
	for _, s := range accepted.GetSpec().GetSteps() {
		j.remaining += occurrences * int(s.GetCount())
	}
	return j
}

// Occurrences returns how many times a job's steps run; at least 1.
func Occurrences(spec *apiv1.JobSpec) int {
	return max(1, int(spec.GetRepeatCount()))
}

func (j *job) finished() bool {
	return j.state != apiv1.JobState_JOB_STATE_UNSPECIFIED
}

// reportedState returns the state as shown to callers.
func (j *job) reportedState() apiv1.JobState {
	switch {
	case j.finished():
		return j.state
	case j.started:
		return apiv1.JobState_JOB_STATE_RUNNING
	default:
		return apiv1.JobState_JOB_STATE_QUEUED
	}
}

// finish sets the final state and drops the job's spec and progress. The workspace
// stays, because the finished job is open to its callers only. It does nothing if the
// job has finished already.
func (j *job) finish(nowUnixMs int64, state apiv1.JobState) {
	if j.finished() {
		return
	}
	j.state = state
	j.finishedUnixMs = nowUnixMs
	j.steps = nil
	j.accepted = &apiv1.CallerJob{
		Id: j.accepted.GetId(), Queue: &apiv1.Queue{Name: j.accepted.GetQueue().GetName()},
		AcceptedUnixMs: j.accepted.GetAcceptedUnixMs(), Workspace: j.accepted.GetWorkspace(),
	}
}

// recordRunEnd applies the end of a run. It is idempotent, because the same end may
// be reported more than once. implicatesQueue is that of Crashes.Record.
func (j *job) recordRunEnd(nowUnixMs int64, end *apiv1.RunEnd) (implicatesQueue bool) {
	if j.finished() {
		return false
	}
	if end.GetOutcome() != apiv1.RunOutcome_RUN_OUTCOME_WORKER_CRASHED {
		j.started = true // a crashed worker may not have started the run
	}
	s, spec := j.stepOf(end)
	if s == nil {
		return false
	}
	index := end.GetIndex()
	switch end.GetOutcome() {
	case apiv1.RunOutcome_RUN_OUTCOME_DONE:
		if !spec.GetLongRunning() { // it has to run until its job is cancelled, however its runs end
			j.markTaskDone(s, spec, index)
		}
	case apiv1.RunOutcome_RUN_OUTCOME_FAILED:
		if s.done[index] == 0 && !spec.GetLongRunning() {
			if s.addFailure(progressIndex(spec, index), end.GetRun()) >= max(1, int(j.accepted.GetQueue().GetMaxAttempts())) {
				j.finish(nowUnixMs, apiv1.JobState_JOB_STATE_FAILED)
				return false
			}
		}
	case apiv1.RunOutcome_RUN_OUTCOME_WORKER_CRASHED:
		if s.done[index] == 0 {
			return j.recordCrash(nowUnixMs, s, end)
		}
	}
	if end.GetCheckpoint() != "" && spec.GetCheckpointing() {
		s.checkpoints[progressIndex(spec, index)] = end.GetCheckpoint()
	}
	if j.remaining == 0 {
		j.finish(nowUnixMs, apiv1.JobState_JOB_STATE_COMPLETED)
	}
	return false
}

// progressIndex returns the index under which a task's failures and checkpoint are
// kept. All tasks of a gang share index 0.
func progressIndex(spec *apiv1.JobStep, index int32) int32 {
	if spec.GetGang() {
		return 0
	}
	return index
}

// markTaskDone marks the task as done, or all tasks of the step if it is a gang.
func (j *job) markTaskDone(s *stepProgress, spec *apiv1.JobStep, index int32) {
	if spec.GetGang() {
		for i := range s.done {
			j.markDone(s, i)
		}
		return
	}
	j.markDone(s, int(index))
}

func (j *job) markDone(s *stepProgress, index int) {
	if s.done[index] == 0 {
		s.done[index] = 1
		j.remaining--
	}
}

// stepOf returns the progress and the spec of the step to which the end of a run
// belongs, or nil if the job has no such task.
func (j *job) stepOf(end *apiv1.RunEnd) (*stepProgress, *apiv1.JobStep) {
	steps := j.accepted.GetSpec().GetSteps()
	stepIndex := int(end.GetStep())
	occurrence := int(end.GetOccurrence())
	if stepIndex < 0 || stepIndex >= len(steps) || occurrence < 0 || occurrence >= Occurrences(j.accepted.GetSpec()) {
		return nil, nil
	}
	spec := steps[stepIndex]
	if end.GetIndex() < 0 || end.GetIndex() >= spec.GetCount() {
		return nil, nil
	}
	position := occurrence*len(steps) + stepIndex
	if j.steps[position] == nil {
		j.steps[position] = newStepProgress(spec)
	}
	return j.steps[position], spec
}

func newStepProgress(spec *apiv1.JobStep) *stepProgress {
	return &stepProgress{
		done:        make([]byte, spec.GetCount()),
		failed:      make(map[int32][]int64),
		checkpoints: make(map[int32]string),
		crashes:     make(map[int32]Crashes),
	}
}

// recordCrash records a run whose worker crashed under it. The job fails if it is given up.
func (j *job) recordCrash(nowUnixMs int64, s *stepProgress, end *apiv1.RunEnd) (implicatesQueue bool) {
	crashes := s.crashes[end.GetIndex()]
	implicatesQueue = crashes.Record(end.GetRun(), end.GetAttributed(), end.GetAlone())
	s.crashes[end.GetIndex()] = crashes
	if crashes.GivenUp() {
		j.finish(nowUnixMs, apiv1.JobState_JOB_STATE_FAILED)
	}
	return implicatesQueue
}

// addFailure records a failed run, once, and returns how many are recorded for the
// index.
func (s *stepProgress) addFailure(index int32, run int64) int {
	if !slices.Contains(s.failed[index], run) {
		s.failed[index] = append(s.failed[index], run)
	}
	return len(s.failed[index])
}

// progress returns a copy of the job's progress.
func (j *job) progress() *apiv1.JobProgress {
	p := &apiv1.JobProgress{Job: j.accepted, State: j.state, FinishedUnixMs: j.finishedUnixMs, Begun: j.started}
	for _, s := range j.steps {
		p.Steps = append(p.Steps, s.progress())
	}
	return p
}

func (s *stepProgress) progress() *apiv1.StepProgress {
	p := &apiv1.StepProgress{}
	if s == nil {
		return p
	}
	p.Done = slices.Clone(s.done)
	for _, index := range slices.Sorted(maps.Keys(s.failed)) {
		p.Failed = append(p.Failed, &apiv1.FailedRuns{Index: index, Runs: slices.Clone(s.failed[index])})
	}
	for _, index := range slices.Sorted(maps.Keys(s.crashes)) {
		crashes := s.crashes[index]
		copied := crashes.clone()
		p.Crashed = append(p.Crashed, &apiv1.CrashedRuns{Index: index, Runs: copied.Runs, AttributedRuns: copied.AttributedRuns, AloneRuns: copied.AloneRuns})
	}
	p.Checkpoints = make(map[int32]string, len(s.checkpoints))
	for index, checkpoint := range s.checkpoints {
		p.Checkpoints[index] = checkpoint
	}
	return p
}
