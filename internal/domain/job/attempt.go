package job

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Pauses before a task is attempted again.
const (
	// refusedPause is the mean pause after an attempt that did not start; it doubles up to maxPause.
	refusedPause = 50 * time.Millisecond
	// failedPause is the mean pause after an attempt that failed, and after the end of a standing task.
	failedPause = 200 * time.Millisecond
	maxPause    = 10 * time.Second
	// steadyRun is the run time from which the end of a standing task does not lengthen the pause.
	steadyRun = 10 * time.Second
)

// Action is what the job's goroutine does next.
type Action struct {
	Start    []work.Spec // attempts to make; of a gang all tasks or none
	WakeAt   time.Time   // without attempts: when to ask again, unless the job changes before; zero for no time
	Complete bool        // the job has ended
}

// Next returns what to do now. Each attempt in Start must be followed by a call of Ended.
func (j *Job) Next(now time.Time) Action {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.complete() {
		return Action{Complete: true}
	}
	if j.plan.Class == work.Gang {
		return j.nextRound(now)
	}
	var step Action
	kept := j.waiting[:0]
	for i, index := range j.waiting {
		if j.inFlight >= MaxInFlight {
			kept = append(kept, j.waiting[i:]...)
			break
		}
		t := j.task(index)
		switch {
		case now.Before(t.ready):
			kept = append(kept, index)
			if step.WakeAt.IsZero() || t.ready.Before(step.WakeAt) {
				step.WakeAt = t.ready
			}
		default:
			step.Start = append(step.Start, j.begin(index, ident.NextAttempt(now, t.attempt)))
		}
	}
	j.waiting = kept
	return step
}

func (j *Job) begin(index uint32, attempt ident.Attempt) work.Spec {
	t := j.task(index)
	t.attempt = attempt
	j.attempts++
	j.move(t, Running)
	return j.spec(index)
}

func (j *Job) spec(index uint32) work.Spec {
	t := j.task(index)
	spec := work.Spec{
		ID: j.taskID(index), Attempt: t.attempt, Kind: j.plan.Kind, Class: j.plan.Class,
		Repeatable: j.plan.Repeatable, Size: j.plan.Size, Expected: j.plan.Expected, Deadline: j.plan.Deadline,
		Payload: j.plan.Payload, Weight: j.plan.Weight,
	}
	if j.plan.Class == work.Standing && t.began {
		spec.Deadline = time.Time{} // the deadline is for the first start
	}
	return spec
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome work.Outcome
	Err     error // in place of an outcome
	Lost    bool  // the attempt may have run; it has certainly ended and left no outcome
}

// byItself reports whether the task ended by itself and was not stopped by the system.
func (e AttemptResult) byItself() bool {
	return e.Err == nil && e.Outcome.Message != work.StoppedMessage && e.Outcome.Message != work.LeaseExpiredMessage
}

// refused reports whether the attempt certainly did not run.
func (e AttemptResult) refused() bool {
	return e.Err != nil && !e.Lost && fault.KindOf(e.Err).Response().Ran == fault.RanNo
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

// Decision is what follows from the end of an attempt.
type Decision struct {
	Records []journal.Record // to append; then call Recorded for each
	Stop    []ident.TaskID   // tasks in flight that must be stopped
}

// AttemptEnded takes the end of an attempt that certainly does not run any more. An attempt that is not the task's latest
// changes nothing.
func (j *Job) AttemptEnded(now time.Time, index uint32, attempt ident.Attempt, end AttemptResult) Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(index)
	if t == nil || t.state != Running || t.attempt != attempt {
		return Decision{}
	}
	t.began = t.began || !end.refused()
	if j.plan.Class == work.Gang {
		return j.endedInRound(now, index, end)
	}
	if j.canceled && !end.byItself() {
		return j.endedCanceled(index, end)
	}
	if j.again(t, end) {
		t.ready = now.Add(j.pause(t, end))
		j.waiting = append(j.waiting, index)
		j.move(t, Waiting)
		return Decision{}
	}
	return Decision{Records: []journal.Record{j.end(index, end.result())}}
}

// endedCanceled ends a task that was stopped because the job was canceled. Work that is not repeatable and may have run
// is not told as canceled, because that would say that it did not run.
func (j *Job) endedCanceled(index uint32, end AttemptResult) Decision {
	if !j.plan.Repeatable && !end.refused() {
		return Decision{Records: []journal.Record{j.end(index, end.result())}}
	}
	j.move(j.task(index), Canceled)
	return Decision{}
}

// again reports whether the task is attempted again, and counts the failure.
func (j *Job) again(t *task, end AttemptResult) bool {
	switch {
	case j.canceled:
		return false
	case end.refused():
		// Conflict: an owner still holds a former attempt, which it ends soon.
		return fault.KindOf(end.Err).Response().Retryable || fault.Is(end.Err, fault.Conflict)
	case !j.plan.Repeatable:
		return false
	case j.plan.Class == work.Standing:
		return true
	case end.Lost, end.Err == nil && !end.byItself():
		return true // the worker or the system ended it, not the task
	case end.Err != nil || end.Outcome.OK:
		return false
	}
	t.failures++
	return t.failures <= j.plan.Retries
}

// pause returns the jittered time until the next attempt.
func (j *Job) pause(t *task, end AttemptResult) time.Duration {
	mean := failedPause
	if end.refused() {
		mean = refusedPause
	}
	if end.Err == nil && end.Outcome.RunTime >= steadyRun {
		t.refusals = 0
	}
	return j.backoff(mean, &t.refusals)
}

func (j *Job) backoff(mean time.Duration, row *int) time.Duration {
	mean = min(mean<<min(*row, 10), maxPause)
	*row++
	return mean/2 + time.Duration(j.random.Int64N(int64(mean)))
}

// end returns the record of a task's end. The end counts once it is recorded.
func (j *Job) end(index uint32, result journal.Result) journal.Record {
	t := j.task(index)
	t.result = result
	j.move(t, Ending)
	return journal.Record{
		Kind: journal.Outcome, Work: j.id, Index: index, Attempt: t.attempt, Result: result, Expires: j.Expires(),
	}
}

// MarkRecorded notes that the end of a task was recorded.
func (j *Job) MarkRecorded(index uint32) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.task(index); t != nil && t.state == Ending {
		j.move(t, stateOf(t.result))
	}
}

// IntentRecords returns the records to append before the attempts are made: none for repeatable work.
func (j *Job) IntentRecords(specs []work.Spec) []journal.Record {
	if j.plan.Repeatable {
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
