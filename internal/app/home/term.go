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

// term is one time that this process is the home of a partition. What a goroutine of a former term learns or wants no
// longer counts.
type term struct {
	*partition
	process   context.Context // ends with the process
	ctx       context.Context // ends with the term
	cancel    context.CancelFunc
	ledger    *ledger.DedupTable
	journaled chan struct{} // closed once the journal is taken and read into the ledger
}

func newTerm(process context.Context, p *partition) *term {
	t := &term{partition: p, process: process, ledger: ledger.New(), journaled: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(process)
	return t
}

// homeEpoch returns the home epoch to place with, or StaleEpoch when the term has ended. A term that ends after that is
// fenced by the owners, because the next one begins with a higher epoch.
func (t *term) homeEpoch() (ident.HomeEpoch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != t {
		return ident.HomeEpoch{}, fault.New(fault.StaleEpoch, "this process is no longer the home of partition %d", t.id)
	}
	return t.epoch, nil
}

// execute runs the request or joins it. The request goes on when its caller does not wait any longer.
func (t *term) execute(ctx context.Context, call port.Execute) (work.Outcome, error) {
	if !call.Spec.Repeatable {
		if err := t.awaitJournal(ctx); err != nil {
			return work.Outcome{}, err
		}
	}
	id := call.Spec.ID.Work
	decision, done, err := t.ledger.Admit(time.Now(), id, call.Digest)
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
		return work.Outcome{}, fault.New(fault.Interrupted, "%s runs; ask again with the same request id", id)
	}
	result, ok := t.ledger.Result(id)
	if !ok {
		return work.Outcome{}, fault.New(fault.Interrupted, "%s ended; ask again with the same request id", id)
	}
	return result.Outcome, result.Err
}

// awaitJournal waits until the journal is read. Without it nobody can tell whether a former home started the request,
// so the answer is not that it did not run.
func (t *term) awaitJournal(ctx context.Context) error {
	select {
	case <-t.journaled:
		return nil
	case <-t.ctx.Done():
		return fault.New(fault.Interrupted, "the home of partition %d changed", t.id)
	case <-ctx.Done():
		return fault.New(fault.Interrupted,
			"the journal of partition %d was not read yet; ask again with the same request id", t.id)
	}
}
