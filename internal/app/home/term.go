package home

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/ledger"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// term is one period during which this process is the home of a partition. Goroutines of an earlier term must not
// change the state of a later one.
type term struct {
	*partition
	processCtx  context.Context // ends with the process
	ctx         context.Context // ends with the term
	cancel      context.CancelFunc
	dedup       *ledger.DedupTable
	journalRead chan struct{} // closed once the journal has been taken over and its records restored
}

func newTerm(process context.Context, p *partition) *term {
	t := &term{partition: p, processCtx: process, dedup: ledger.New(), journalRead: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(process)
	return t
}

// homeEpoch returns the home epoch for placements. It fails with StaleEpoch if the term has ended. If the term ends
// after the call, the owners fence it, because the next term begins with a higher epoch.
func (t *term) homeEpoch() (ident.HomeEpoch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != t {
		return ident.HomeEpoch{}, fault.New(fault.StaleEpoch, "this process is no longer the home of partition %d", t.id)
	}
	return t.epoch, nil
}

// execute runs the request, or waits for it if it is already known. The request continues when its caller stops
// waiting.
func (t *term) execute(ctx context.Context, call port.Execute) (work.Outcome, error) {
	if !call.Spec.Repeatable {
		if err := t.awaitJournal(ctx); err != nil {
			return work.Outcome{}, err
		}
	}
	id := call.Spec.ID.Work
	decision, done, err := t.dedup.Admit(time.Now(), id, call.Digest)
	if err != nil {
		return work.Outcome{}, err
	}
	if decision == ledger.Run && call.Spec.Repeatable {
		go t.runRepeatable(call)
	} else if decision == ledger.Run {
		go t.runOnce(call)
	}
	select {
	case <-done:
	case <-ctx.Done():
		return work.Outcome{}, fault.New(fault.Interrupted,
			"request %s is still in progress; retry with the same request id", id)
	}
	result, ok := t.dedup.Result(id)
	if !ok {
		return work.Outcome{}, fault.New(fault.Interrupted,
			"the result of request %s is no longer available; retry with the same request id", id)
	}
	return result.Outcome, result.Err
}

// awaitJournal waits until the journal has been read. Before that it is unknown whether a previous home started the
// request, so the error must not state that the request did not run.
func (t *term) awaitJournal(ctx context.Context) error {
	select {
	case <-t.journalRead:
		return nil
	case <-t.ctx.Done():
		return fault.New(fault.Interrupted, "home of partition %d changed; retry with the same request id", t.id)
	case <-ctx.Done():
		return fault.New(fault.Interrupted,
			"the journal of partition %d has not been read yet; retry with the same request id", t.id)
	}
}
