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

// takeRetry is the mean pause before the journal is asked for again while the store is down. With 32 partitions it
// costs the store up to 16 calls/s of the whole cell.
const takeRetry = 2 * time.Second

// takeJournal takes the journal, as soon as the store allows it, and goes on with what the former home left open.
func (t *term) takeJournal(found survey) {
	for {
		records, err := t.service.Journal.TakeOver(t.ctx, t.id)
		if err == nil {
			open := t.restore(records)
			t.restoreJobs(t.ctx, records, found)
			close(t.journaled)
			t.settleUnneeded()
			t.search(open)
			return
		}
		t.service.Log.Info("journal not taken yet", "partition", t.id, "error", err)
		if !pause.For(t.ctx, pause.Jitter(takeRetry, string(t.service.Self)+t.id.Key())) {
			return
		}
	}
}

// restore reads the records into the ledger and returns the intents that nobody follows yet.
func (t *term) restore(records []journal.Record) []journal.Record {
	outcomes := map[ident.WorkID]journal.Record{}
	for _, r := range records {
		if r.Kind == journal.Outcome && r.Index == 0 {
			outcomes[r.Work] = r
		}
	}
	var open []journal.Record
	for _, r := range records {
		if r.Kind != journal.Intent {
			continue
		}
		if outcome, ended := outcomes[r.Work]; ended {
			t.ledger.RestoreResult(r.Work, r.Digest, endOf(outcome), r.Expires)
		} else if t.ledger.RestoreIntent(r.Work, r.Digest, r.Expires) {
			open = append(open, r)
		}
	}
	return open
}

// settleUnneeded lets the owners forget the outcomes that were reported before the journal was read and that no open
// request waits for.
func (t *term) settleUnneeded() {
	for _, r := range t.takeUnneeded() {
		t.settle(r.owner, r.outcome.Task)
	}
}

// search looks for the attempts of open intents at the owners. An attempt that nobody holds, once every worker is
// accounted for, has an unknown outcome; it is not started again.
func (t *term) search(open []journal.Record) {
	began := time.Now()
	for len(open) > 0 {
		changed := t.changed.Changed()
		found := t.survey(t.ctx)
		var missing []journal.Record
		for _, intent := range open {
			task := ident.TaskID{Work: intent.Work}
			if at, ok := found.holders[task]; ok {
				go t.followAdopted(at.process, port.HeldAttempt{Task: task, Attempt: at.attempt})
			} else if attempt, ok := t.reportedAttempt(task); ok {
				go t.followAdopted("", port.HeldAttempt{Task: task, Attempt: attempt})
			} else {
				missing = append(missing, intent)
			}
		}
		open = missing
		if found.outranked {
			t.fenced()
			return
		}
		if found.complete || time.Since(began) > t.service.TaskLeaseBound {
			break
		}
		awaitAny(t.ctx, changed, surveyRetry)
		if t.ctx.Err() != nil {
			return
		}
	}
	for _, intent := range open {
		task := ident.TaskID{Work: intent.Work}
		go t.conclude(t.ctx, task, ending{}, lost(work.Spec{ID: task}), intent.Expires)
	}
}

// followAdopted waits for the outcome of an attempt that a former home placed. Before the journal is read, the request
// counts as repeatable; callers of other requests wait for the journal.
func (t *term) followAdopted(owner ident.ProcessID, held port.HeldAttempt) {
	epoch, err := t.homeEpoch()
	if err != nil {
		return
	}
	call := port.Place{Partition: t.id, Home: epoch}
	call.Spec = work.Spec{ID: held.Task, Attempt: held.Attempt, Repeatable: true}
	call.Spec.Size.Slots = 1 // the least that a frame may carry; an attach does not use it
	t.service.record(timeline.TakenOver, held.Task, "")
	ended, err := t.follow(t.ctx, call, owner)
	if fault.Is(err, fault.Interrupted) {
		return // the term ended, and with it the request
	}
	id := held.Task.Work
	if t.ledger.CompleteAdopted(id, ledger.Result{Outcome: ended.outcome, Err: err}, time.Now().Add(keepResult)) {
		if t.awaitJournal(t.ctx) != nil {
			return
		}
	}
	if keep, ok := t.ledger.PendingIntent(id); ok {
		if fault.Is(err, fault.NoCapacity) {
			err = lost(work.Spec{ID: held.Task})
		}
		t.conclude(t.ctx, held.Task, ended, err, keep)
		return
	}
	t.settle(ended.owner, held.Task)
}
