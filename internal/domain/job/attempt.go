package job

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Delays before a task is attempted again. They are means before jitter and double with each retry up to maxBackoff.
const (
	// refusedBackoff is the initial delay after an attempt that did not start.
	refusedBackoff = 50 * time.Millisecond
	// failedBackoff is the initial delay after an attempt that failed, and after the end of a standing task.
	failedBackoff = 200 * time.Millisecond
	maxBackoff    = 10 * time.Second
	// stableRunTime is the run time of an attempt after which the backoff starts again from its initial delay, so that
	// the end of a standing task that ran for long does not lengthen the delay.
	stableRunTime = 10 * time.Second
)

// Action is the next action of the goroutine that runs the job.
type Action struct {
	Start    []work.Spec // attempts to start; for a gang all tasks or none
	WakeAt   time.Time   // if Start is empty: when to call Next again unless the job changes before; zero if only then
	Complete bool        // the job has ended
}

// Next returns the next action. For each attempt in Start the caller must report the end of the attempt.
func (j *Job) Next(now time.Time) Action {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isComplete() {
		return Action{Complete: true}
	}
	if j.jobSpec.Class == work.Gang {
		return j.nextRound(now)
	}
	var action Action
	stillWaiting := j.waiting[:0]
	for i, index := range j.waiting {
		if j.inFlight >= MaxInFlight {
			stillWaiting = append(stillWaiting, j.waiting[i:]...)
			break
		}
		t := j.task(index)
		switch {
		case now.Before(t.notBefore):
			stillWaiting = append(stillWaiting, index)
			if action.WakeAt.IsZero() || t.notBefore.Before(action.WakeAt) {
				action.WakeAt = t.notBefore
			}
		default:
			action.Start = append(action.Start, j.startAttempt(index, ident.NextAttempt(now, t.attempt)))
		}
	}
	j.waiting = stillWaiting
	return action
}

func (j *Job) startAttempt(index uint32, attempt ident.Attempt) work.Spec {
	t := j.task(index)
	t.attempt = attempt
	j.attempts++
	j.setState(t, Running)
	return j.attemptSpec(index)
}

func (j *Job) attemptSpec(index uint32) work.Spec {
	t := j.task(index)
	spec := work.Spec{
		ID: j.taskID(index), Attempt: t.attempt, Kind: j.jobSpec.Kind, Class: j.jobSpec.Class,
		Repeatable: j.jobSpec.Repeatable, Size: j.jobSpec.Size, Expected: j.jobSpec.Expected, Deadline: j.jobSpec.Deadline,
		Payload: j.jobSpec.Payload, Weight: j.jobSpec.Weight,
	}
	if j.jobSpec.Class == work.Standing && t.mayHaveRun {
		spec.Deadline = time.Time{} // the deadline applies to the first start only
	}
	return spec
}

// AttemptResult is the result of an attempt that has ended.
type AttemptResult struct {
	Outcome work.Outcome
	Err     error // set if there is no outcome
	Lost    bool  // the attempt may have run, has certainly ended, and its outcome was lost
}

// endedByTask reports whether the task ended on its own instead of being stopped by the system.
func (e AttemptResult) endedByTask() bool {
	return e.Err == nil && e.Outcome.Message != work.StoppedMessage && e.Outcome.Message != work.LeaseExpiredMessage
}

// refused reports whether the attempt certainly never ran.
func (e AttemptResult) refused() bool {
	return e.Err != nil && !e.Lost && fault.KindOf(e.Err).Response().Execution == fault.NotExecuted
}

func (e AttemptResult) result() journal.Result {
	switch {
	case e.Err == nil:
		return journal.Result{
			OK: e.Outcome.OK, Output: e.Outcome.Output, Message: e.Outcome.Message, RunTime: e.Outcome.RunTime,
		}
	case e.refused():
		return journal.Result{Message: e.Err.Error()}
	default:
		return journal.Result{Unknown: true, Message: unknownMessage}
	}
}

// Decision is what the caller must do after the end of an attempt.
type Decision struct {
	Records []journal.Record // records to append to the journal and then to mark as recorded
	Stop    []ident.TaskID   // tasks in flight that must be stopped
}

// AttemptEnded processes the end of an attempt that certainly is not running any more. It ignores attempts other than
// the latest one of the task.
func (j *Job) AttemptEnded(now time.Time, index uint32, attempt ident.Attempt, end AttemptResult) Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(index)
	if t == nil || t.state != Running || t.attempt != attempt {
		return Decision{}
	}
	t.mayHaveRun = t.mayHaveRun || !end.refused()
	if j.jobSpec.Class == work.Gang {
		return j.taskEndedInRound(now, index, end)
	}
	if j.canceled && !end.endedByTask() {
		return j.endCanceled(index, end)
	}
	if j.shouldRetry(t, end) {
		t.notBefore = now.Add(j.retryDelay(t, end))
		j.waiting = append(j.waiting, index)
		j.setState(t, Waiting)
		return Decision{}
	}
	return Decision{Records: []journal.Record{j.endTask(index, end.result())}}
}

// endCanceled ends a task that was stopped because the job was canceled. Work that is not repeatable and may have run
// does not become Canceled, because that would state that it did not run.
func (j *Job) endCanceled(index uint32, end AttemptResult) Decision {
	if !j.jobSpec.Repeatable && !end.refused() {
		return Decision{Records: []journal.Record{j.endTask(index, end.result())}}
	}
	j.setState(j.task(index), Canceled)
	return Decision{}
}

// shouldRetry reports whether the task is to be attempted again, and counts a failure of the task itself.
func (j *Job) shouldRetry(t *task, end AttemptResult) bool {
	switch {
	case j.canceled:
		return false
	case end.refused():
		// A conflict means that an owner still holds an earlier attempt, which it is about to end.
		return fault.KindOf(end.Err).Response().Retryable || fault.Is(end.Err, fault.Conflict)
	case !j.jobSpec.Repeatable:
		return false
	case j.jobSpec.Class == work.Standing:
		return true
	case end.Lost, end.Err == nil && !end.endedByTask():
		return true // the attempt ended because of the worker or the system, not because of the task
	case end.Err != nil || end.Outcome.OK:
		return false
	}
	t.failures++
	return t.failures <= j.jobSpec.Retries
}

// retryDelay returns the delay, with jitter, until the next attempt.
func (j *Job) retryDelay(t *task, end AttemptResult) time.Duration {
	mean := failedBackoff
	if end.refused() {
		mean = refusedBackoff
	}
	if end.Err == nil && end.Outcome.RunTime >= stableRunTime {
		t.consecutiveRetries = 0
	}
	return j.backoff(mean, &t.consecutiveRetries)
}

// backoff returns the delay for the given number of consecutive retries, with jitter, and increments that number.
func (j *Job) backoff(mean time.Duration, retries *int) time.Duration {
	mean = min(mean<<min(*retries, 10), maxBackoff)
	*retries++
	return mean/2 + time.Duration(j.random.Int64N(int64(mean)))
}

// endTask sets the result of a task and returns the record of it. The task stays in state Ending until the record is
// stored.
func (j *Job) endTask(index uint32, result journal.Result) journal.Record {
	t := j.task(index)
	t.result = result
	j.setState(t, Ending)
	return journal.Record{
		Kind: journal.Outcome, Work: j.id, Index: index, Attempt: t.attempt, Result: result, Expires: j.Expires(),
	}
}

// MarkRecorded marks the result of a task as stored in the journal.
func (j *Job) MarkRecorded(index uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.task(index); t != nil && t.state == Ending {
		j.setState(t, finalState(t.result))
	}
}

// IntentRecords returns the records to append before the attempts are started; none for repeatable work.
func (j *Job) IntentRecords(specs []work.Spec) []journal.Record {
	if j.jobSpec.Repeatable {
		return nil
	}
	records := make([]journal.Record, len(specs))
	for i, spec := range specs {
		records[i] = journal.Record{
			Kind: journal.Intent, Work: j.id, Digest: j.digest, Index: spec.ID.Index, Attempt: spec.Attempt,
			Expires: j.Expires(),
		}
	}
	return records
}
