package job

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// gangRound is one attempt to run a gang as a whole. It ends when all of its tasks have ended.
type gangRound struct {
	inFlight           int // tasks in flight
	failed             bool
	countsAsFailure    bool // against the retries: a task failed on its own, or a later round would be refused too
	mayHaveRun         bool // a task may have run
	failures           int  // rounds that counted against the retries
	consecutiveRetries int
	notBefore          time.Time                // earliest start of the next round
	results            map[uint32]AttemptResult // by task index
}

// resume continues a round of a previous home, some tasks of which may be missing. Such an incomplete round is retried
// and does not count against the retries: the previous home failed while it started the tasks, or a worker was lost.
func (r *gangRound) resume(follow []work.Spec, missing int) {
	r.inFlight, r.results = len(follow), map[uint32]AttemptResult{}
	r.failed, r.mayHaveRun = missing > 0, true
}

func (j *Job) nextRound(now time.Time) Action {
	r := &j.round
	if r.inFlight > 0 || len(j.waiting) == 0 {
		return Action{}
	}
	if now.Before(r.notBefore) {
		return Action{WakeAt: r.notBefore}
	}
	j.round = gangRound{
		inFlight: len(j.waiting), failures: r.failures, consecutiveRetries: r.consecutiveRetries,
		results: map[uint32]AttemptResult{},
	}
	var attempt ident.Attempt // the same for all tasks of the round, so that one message can reserve capacity for them
	for _, index := range j.waiting {
		attempt = max(attempt, ident.NextAttempt(now, j.task(index).attempt))
	}
	var action Action
	for _, index := range j.waiting {
		action.Start = append(action.Start, j.startAttempt(index, attempt))
	}
	j.waiting = j.waiting[:0]
	return action
}

// ReservationFailed ends a round whose tasks were not started because capacity for all of them could not be reserved.
// The round is tried again and does not count against the retries, unless the job was canceled, the error is not
// retryable or the deadline has passed; then the gang ends.
func (j *Job) ReservationFailed(now time.Time, cause error) Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &j.round
	if r.inFlight == 0 {
		return Decision{}
	}
	late := !j.jobSpec.Deadline.IsZero() && !now.Before(j.jobSpec.Deadline)
	if late {
		cause = fault.New(fault.DeadlineExceeded, "no capacity for the whole gang before its deadline")
	}
	r.inFlight, r.failed = 0, true
	if !j.canceled && !late && fault.KindOf(cause).Response().Retryable {
		j.requeueRound(now)
		return Decision{}
	}
	for _, index := range j.unfinishedTasks() {
		r.results[index] = AttemptResult{Err: cause}
	}
	return Decision{Records: j.endGang()}
}

// taskEndedInRound processes the end of one task of the gang. The task stays in state Running until the whole round has
// ended, so that no task starts again while another one is running.
func (j *Job) taskEndedInRound(now time.Time, index uint32, end AttemptResult) Decision {
	r := &j.round
	if _, ok := r.results[index]; ok {
		return Decision{}
	}
	r.results[index] = end
	r.inFlight--
	r.mayHaveRun = r.mayHaveRun || !end.refused()
	var decision Decision
	if (end.Err != nil || !end.Outcome.OK) && !r.failed {
		r.failed = true
		r.countsAsFailure = end.endedByTask() || end.refused() && !fault.KindOf(end.Err).Response().Retryable
		decision.Stop = j.inFlightInRound()
	}
	switch {
	case r.inFlight > 0:
	case r.failed && j.shouldRetryRound():
		j.requeueRound(now)
	default:
		decision.Records = j.endGang()
	}
	return decision
}

// shouldRetryRound reports whether a failed round is to be retried, and counts the failure.
func (j *Job) shouldRetryRound() bool {
	r := &j.round
	if j.canceled || !j.jobSpec.Repeatable && r.mayHaveRun {
		return false
	}
	if r.countsAsFailure {
		r.failures++
	}
	return r.failures <= j.jobSpec.Retries
}

// requeueRound returns the unfinished tasks of the gang to the waiting state and schedules the next round.
func (j *Job) requeueRound(now time.Time) {
	j.round.notBefore = now.Add(j.backoff(refusedBackoff, &j.round.consecutiveRetries))
	j.waiting = j.unfinishedTasks()
	for _, index := range j.waiting {
		if t := j.task(index); t.state == Running {
			j.setState(t, Waiting)
		}
	}
}

// endGang ends the gang with the results of this round.
func (j *Job) endGang() []journal.Record {
	var records []journal.Record
	for _, index := range j.unfinishedTasks() {
		end, ok := j.round.results[index]
		if !ok {
			end.Err = fault.New(fault.NoCapacity, "not all tasks of the gang could be started")
		}
		if j.canceled && !end.endedByTask() {
			records = append(records, j.endCanceled(index, end).Records...)
			continue
		}
		records = append(records, j.endTask(index, end.result()))
	}
	j.waiting = nil
	return records
}

// unfinishedTasks returns the indexes of the tasks that are waiting or running.
func (j *Job) unfinishedTasks() []uint32 {
	var unfinished []uint32
	for i := range j.tasks {
		if s := j.tasks[i].state; s == Waiting || s == Running {
			unfinished = append(unfinished, uint32(i+1))
		}
	}
	return unfinished
}

// inFlightInRound returns the tasks of the round that have not ended.
func (j *Job) inFlightInRound() []ident.TaskID {
	var tasks []ident.TaskID
	for _, id := range j.runningTasks() {
		if _, ok := j.round.results[id.Index]; !ok {
			tasks = append(tasks, id)
		}
	}
	return tasks
}
