package home

import (
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/ledger"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// takeoverRetry is the mean pause between attempts to take over the journal while the store is down. With 32
// partitions, the whole cell makes up to 16 calls/s to the store.
const takeoverRetry = 2 * time.Second

// takeOverJournal takes over the journal, retrying while the store is down, and continues the requests and jobs that
// the previous home left unfinished.
func (t *term) takeOverJournal(found survey) {
	for {
		records, err := t.service.Journal.TakeOver(t.ctx, t.id)
		if err == nil {
			unresolved := t.restoreRequests(records)
			t.restoreJobs(t.ctx, records, found)
			close(t.journalRead)
			t.ackUnneeded()
			t.findAttempts(unresolved)
			return
		}
		t.service.Log.Info("could not take over journal; retrying", "partition", t.id, "error", err)
		if !pause.For(t.ctx, pause.Jitter(takeoverRetry, string(t.service.Self)+t.id.Key())) {
			return
		}
	}
}

// restoreRequests restores the requests from the journal records into the deduplication table. It returns the intents
// without an outcome whose attempts are not followed yet.
func (t *term) restoreRequests(records []journal.Record) []journal.Record {
	outcomes := map[ident.WorkID]journal.Record{}
	for _, r := range records {
		if r.Kind == journal.Outcome && r.Index == 0 {
			outcomes[r.Work] = r
		}
	}
	var unresolved []journal.Record
	for _, r := range records {
		if r.Kind != journal.Intent {
			continue
		}
		if outcome, ended := outcomes[r.Work]; ended {
			t.dedup.RestoreResult(r.Work, r.Digest, dedupResult(outcome), r.Expires)
		} else if t.dedup.RestoreIntent(r.Work, r.Digest, r.Expires) {
			unresolved = append(unresolved, r)
		}
	}
	return unresolved
}

// ackUnneeded tells the owners to discard the outcomes that were reported before the journal was read and that
// belong to no request in progress.
func (t *term) ackUnneeded() {
	for _, r := range t.takeUnneeded() {
		t.ackOutcome(r.owner, r.outcome.Task)
	}
}

// findAttempts searches the owners for the attempts of the given intents. An attempt that no owner holds once every
// worker is accounted for has an unknown outcome; it is not started again.
func (t *term) findAttempts(unresolved []journal.Record) {
	startTime := time.Now()
	for len(unresolved) > 0 {
		changed := t.changed.Changed()
		found := t.surveyHolders(t.ctx)
		var missing []journal.Record
		for _, intent := range unresolved {
			task := ident.TaskID{Work: intent.Work}
			if h, ok := found.holders[task]; ok {
				go t.followAdopted(h.process, port.HeldAttempt{Task: task, Attempt: h.attempt})
			} else if attempt, ok := t.reportedAttempt(task); ok {
				go t.followAdopted("", port.HeldAttempt{Task: task, Attempt: attempt})
			} else {
				missing = append(missing, intent)
			}
		}
		unresolved = missing
		if found.fenced {
			t.stepDown()
			return
		}
		if found.complete || time.Since(startTime) > t.service.TaskLeaseBound {
			break
		}
		waitForChange(t.ctx, changed, surveyRetry)
		if t.ctx.Err() != nil {
			return
		}
	}
	for _, intent := range unresolved {
		task := ident.TaskID{Work: intent.Work}
		go t.recordOutcome(t.ctx, task, attemptOutcome{}, lostAttemptError(work.Spec{ID: task}), intent.Expires)
	}
}

// followAdopted waits for the outcome of an attempt that a previous home placed. Until the journal has been read, the
// request is treated as repeatable; callers of requests that are not repeatable wait for the journal.
func (t *term) followAdopted(owner ident.ProcessID, held port.HeldAttempt) {
	epoch, err := t.homeEpoch()
	if err != nil {
		return
	}
	call := port.Place{Partition: t.id, Home: epoch}
	call.Spec = work.Spec{ID: held.Task, Attempt: held.Attempt, Repeatable: true}
	call.Spec.Size.Slots = 1 // the minimum that the peer protocol accepts; not used when attaching
	t.service.recordEvent(timeline.TakenOver, held.Task, "")
	end, err := t.followAttempt(t.ctx, call, owner)
	if fault.Is(err, fault.Interrupted) {
		return // the term ended and failed the request
	}
	id := held.Task.Work
	result, expires := adoptedResult(time.Now(), held.Task, end.outcome, err)
	if t.dedup.CompleteAdopted(id, result, expires) {
		if t.awaitJournal(t.ctx) != nil {
			return
		}
	}
	if expires, ok := t.dedup.PendingIntent(id); ok {
		if fault.Is(err, fault.NoCapacity) {
			err = lostAttemptError(work.Spec{ID: held.Task})
		}
		t.recordOutcome(t.ctx, held.Task, end, err, expires)
		return
	}
	t.ackOutcome(end.owner, held.Task)
}

// adoptedResult returns the result of a repeatable request whose attempt a previous home placed, and the time until which
// it is kept. This home does not have the payload to start another attempt in place of one that was evicted or lost, so
// the entry must send the request again, and the result is not kept.
func adoptedResult(now time.Time, task ident.TaskID, outcome work.Outcome, err error) (ledger.Result, time.Time) {
	if fault.Is(err, fault.NoCapacity) || outcome.Evicted() {
		return ledger.Result{Err: fault.New(fault.Interrupted,
			"an attempt of task %s was evicted or lost; retry with the same request id", task)}, time.Time{}
	}
	return ledger.Result{Outcome: outcome, Err: err}, now.Add(resultRetention)
}
