package job

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// round is one attempt of a whole gang. It has ended when each of its tasks has.
type round struct {
	open     int // tasks in flight
	broken   bool
	counted  bool // the break counts against the retries: a task failed, or did not start after the commit
	ran      bool // some task may have run
	failures int
	refusals int // rounds in a row that ended without success
	ready    time.Time
	ends     map[uint32]AttemptResult
}

// resume takes up a round of a former home, of which some tasks may be missing. Such a round is tried again and the
// break does not count: the former home died while it started the tasks, or a worker was lost.
func (r *round) resume(follow []work.Spec, missing int) {
	r.open, r.ends = len(follow), map[uint32]AttemptResult{}
	r.broken, r.ran = missing > 0, true
}

func (j *Job) nextRound(now time.Time) Action {
	r := &j.round
	if r.open > 0 || len(j.waiting) == 0 {
		return Action{}
	}
	if now.Before(r.ready) {
		return Action{WakeAt: r.ready}
	}
	j.round = round{open: len(j.waiting), failures: r.failures, refusals: r.refusals, ends: map[uint32]AttemptResult{}}
	var attempt ident.Attempt // one for the whole round, so that one message reserves room for every task
	for _, index := range j.waiting {
		attempt = max(attempt, ident.NextAttempt(now, j.task(index).attempt))
	}
	var step Action
	for _, index := range j.waiting {
		step.Start = append(step.Start, j.begin(index, attempt))
	}
	j.waiting = j.waiting[:0]
	return step
}

// ReservationFailed ends a round whose tasks were not started, because the room for all of them could not be reserved. The
// round is tried again and does not count against the retries, unless the error says that it cannot succeed or the
// deadline has passed.
func (j *Job) ReservationFailed(now time.Time, cause error) Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &j.round
	if r.open == 0 {
		return Decision{}
	}
	late := !j.plan.Deadline.IsZero() && !now.Before(j.plan.Deadline)
	if late {
		cause = fault.New(fault.DeadlineExceeded, "the gang waited for room until its deadline")
	}
	r.open, r.broken = 0, true
	if !j.canceled && !late && fault.KindOf(cause).Response().Retryable {
		j.requeue(now)
		return Decision{}
	}
	for _, index := range j.openTasks() {
		r.ends[index] = AttemptResult{Err: cause}
	}
	return Decision{Records: j.closeRound()}
}

// endedInRound takes the end of one task of the gang. The task stays in flight until the whole round has ended, so that
// no task starts again while another one runs.
func (j *Job) endedInRound(now time.Time, index uint32, end AttemptResult) Decision {
	r := &j.round
	if _, ok := r.ends[index]; ok {
		return Decision{}
	}
	r.ends[index] = end
	r.open--
	r.ran = r.ran || !end.refused()
	var decision Decision
	if (end.Err != nil || !end.Outcome.OK) && !r.broken {
		r.broken, r.counted = true, end.refused() || end.byItself()
		decision.Stop = j.notEnded()
	}
	switch {
	case r.open > 0:
	case r.broken && j.roundAgain():
		j.requeue(now)
	default:
		decision.Records = j.closeRound()
	}
	return decision
}

// roundAgain reports whether a broken round is tried again, and counts the failure.
func (j *Job) roundAgain() bool {
	r := &j.round
	if j.canceled || !j.plan.Repeatable && r.ran {
		return false
	}
	if r.counted {
		r.failures++
	}
	return r.failures <= j.plan.Retries
}

// requeue makes every task of the gang wait for the next round.
func (j *Job) requeue(now time.Time) {
	j.round.ready = now.Add(j.backoff(refusedPause, &j.round.refusals))
	j.waiting = j.openTasks()
	for _, index := range j.waiting {
		if t := j.task(index); t.state == Running {
			j.move(t, Waiting)
		}
	}
}

// closeRound ends the gang with the ends of this round.
func (j *Job) closeRound() []journal.Record {
	var records []journal.Record
	for _, index := range j.openTasks() {
		end, ok := j.round.ends[index]
		if !ok {
			end.Err = fault.New(fault.NoCapacity, "the gang did not start as a whole")
		}
		if j.canceled && !end.byItself() {
			records = append(records, j.endedCanceled(index, end).Records...)
			continue
		}
		records = append(records, j.end(index, end.result()))
	}
	j.waiting = nil
	return records
}

// openTasks returns the indexes of the tasks that have not ended for good.
func (j *Job) openTasks() []uint32 {
	var open []uint32
	for i := range j.tasks {
		if s := j.tasks[i].state; s == Waiting || s == Running {
			open = append(open, uint32(i+1))
		}
	}
	return open
}

// notEnded returns the tasks of the round that are still in flight.
func (j *Job) notEnded() []ident.TaskID {
	var tasks []ident.TaskID
	for _, id := range j.running() {
		if _, ok := j.round.ends[id.Index]; !ok {
			tasks = append(tasks, id)
		}
	}
	return tasks
}
