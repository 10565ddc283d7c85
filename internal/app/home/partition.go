package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// fencedPause is the mean pause before a partition is taken again after another process fenced this one. Two processes
// that both believe to be the home until their views agree do not take it from each other faster than that.
const fencedPause = time.Second

// forgetInterval is how often expired results are dropped.
const forgetInterval = time.Minute

// partition is the goroutine of one partition: while this process should be its home, it fences the former home and
// serves the partition's requests.
type partition struct {
	id      ident.PartitionID
	service *Service

	mu        sync.Mutex
	epoch     ident.HomeEpoch
	term      *term                     // nil while this process is not the home
	outranked bool                      // another process ended the last term
	ended     map[ident.TaskID]reported // kept until the attempt's goroutine takes them
	changed   notify.Broadcast
	flights   map[ident.TaskID]*flight

	surveying  chan struct{} // holds an element while a shared survey runs
	nextSurvey *surveyRun    // not begun yet; may be nil

	jobs     map[ident.WorkID]*runner // nil while this process is not the home
	restored bool                     // the jobs were read from the journal
}

// reported is an outcome that an owner told without being asked.
type reported struct {
	outcome work.Outcome
	owner   ident.ProcessID
}

func newPartition(s *Service, id ident.PartitionID) *partition {
	return &partition{
		id: id, service: s, ended: map[ident.TaskID]reported{}, flights: map[ident.TaskID]*flight{},
		surveying: make(chan struct{}, 1),
	}
}

// Run takes the partition whenever this process should be its home, and gives it up when another should.
func (p *partition) Run(ctx context.Context) {
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for ctx.Err() == nil {
		changed, own := p.service.LiveChanged(), p.changed.Changed()
		mine := p.service.Members.Home(p.id) == p.service.Self
		switch t := p.current(); {
		case mine && t == nil && p.service.Directory.Known():
			if p.wasFenced() {
				pause.For(ctx, pause.Jitter(fencedPause, string(p.service.Self)+p.id.Key()))
			}
			p.take(ctx)
			continue
		case mine && t == nil:
			changed = p.service.Directory.Changed()
			if p.service.Directory.Known() {
				continue
			}
		case !mine && t != nil:
			p.giveUp(t)
		}
		select {
		case <-changed:
		case <-own:
		case now := <-forget.C:
			if t := p.current(); t != nil {
				t.ledger.RemoveExpired(now)
			}
		case <-ctx.Done():
		}
	}
}

// current returns the term, or nil while this process is not the home.
func (p *partition) current() *term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term
}

// take fences the former home at every owner and adopts what the owners hold.
func (p *partition) take(ctx context.Context) {
	began := time.Now()
	p.nextEpoch(ident.HomeEpoch{})
	for ctx.Err() == nil && p.service.Members.Home(p.id) == p.service.Self {
		found := p.survey(ctx)
		if found.complete || time.Since(began) > p.service.TaskLeaseBound {
			p.serve(ctx, found)
			return
		}
		pause.For(ctx, surveyRetry)
	}
}

// nextEpoch chooses a home epoch above the given one and above its own.
func (p *partition) nextEpoch(seen ident.HomeEpoch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch = ident.HomeEpoch{Counter: max(p.epoch.Counter, seen.Counter) + 1, Process: p.service.Self}
}

func (p *partition) currentEpoch() ident.HomeEpoch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// serve begins a term. The requests that run are adopted before callers are let in: a caller that asks again must find
// its request. Repeatable work is served at once; the journal is taken beside.
func (p *partition) serve(ctx context.Context, found survey) {
	t := newTerm(ctx, p)
	p.service.record(timeline.PartitionTaken, ident.TaskID{}, fmt.Sprintf("partition %d, %d tasks", p.id, len(found.holders)))
	adopted := map[ident.TaskID]holder{}
	for task, at := range found.holders {
		if task.Index == 0 && t.ledger.Adopt(task.Work) {
			adopted[task] = at
		}
	}
	p.mu.Lock()
	p.term, p.jobs, p.restored = t, map[ident.WorkID]*runner{}, false
	p.mu.Unlock()
	for task, at := range adopted {
		go t.followAdopted(at.process, port.HeldAttempt{Task: task, Attempt: at.attempt})
	}
	go t.takeJournal(found)
	p.changed.Signal()
}

// giveUp ends the term. Callers that wait are sent to the next home, which learns of running requests from the owners
// and from the journal.
func (p *partition) giveUp(t *term) {
	p.mu.Lock()
	current := p.term == t
	if current {
		p.term, p.ended = nil, map[ident.TaskID]reported{}
		p.jobs = nil // the next home restores them from the journal
	}
	p.mu.Unlock()
	if !current {
		return
	}
	t.cancel()
	t.ledger.FailPending(fault.New(fault.Interrupted, "the home of partition %d changed; ask again with the same request id", p.id))
	p.service.record(timeline.PartitionLost, ident.TaskID{}, fmt.Sprintf("partition %d", p.id))
	p.changed.Signal()
}

// fenced ends the term because another process took the journal or the owners. What this process knows of the
// requests may be out of date.
func (t *term) fenced() {
	t.service.Log.Warn("another process took the partition", "partition", t.id)
	t.mu.Lock()
	t.outranked = true
	t.mu.Unlock()
	t.giveUp(t)
}

func (p *partition) wasFenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fenced := p.outranked
	p.outranked = false
	return fenced
}

// await waits until the partition serves and returns its term. It fails with StaleEpoch when another process should
// be the home.
func (p *partition) await(ctx context.Context) (*term, error) {
	for {
		changed := p.changed.Changed()
		live := p.service.LiveChanged()
		if p.service.Members.Home(p.id) != p.service.Self {
			return nil, fault.New(fault.StaleEpoch, "process %s is not the home of partition %d", p.service.Self, p.id)
		}
		if t := p.current(); t != nil {
			return t, nil
		}
		select {
		case <-changed:
		case <-live:
		case <-ctx.Done():
			return nil, fault.New(fault.Interrupted, "partition %d has no home yet; ask again with the same request id", p.id)
		}
	}
}
