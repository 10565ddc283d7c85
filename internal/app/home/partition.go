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

// fencedPause is the mean pause before a partition is taken over again after another process fenced this one. While two
// processes both act as the home because their membership views differ, it limits how fast they take the partition from
// each other.
const fencedPause = time.Second

// expiryInterval is the interval at which expired results are removed.
const expiryInterval = time.Minute

// partition is the state of one partition. While this process should be its home, its goroutine fences the previous
// home and the partition serves requests and jobs.
type partition struct {
	id      ident.PartitionID
	service *Service

	mu               sync.Mutex
	epoch            ident.HomeEpoch
	term             *term                            // nil while this process is not the home
	fenced           bool                             // another process ended the last term by fencing this one
	reportedOutcomes map[ident.TaskID]reportedOutcome // kept until the goroutine that follows the attempt takes them
	changed          notify.Broadcast
	inFlight         map[ident.TaskID]*inFlightTask

	surveyRunning chan struct{} // semaphore: one element while a shared survey is running
	nextSurvey    *sharedSurvey // shared survey that has not begun yet; may be nil

	jobs         map[ident.WorkID]*jobRunner // nil while this process is not the home
	jobsRestored bool                        // the jobs have been read from the journal
}

// reportedOutcome is an outcome that an owner reported although no call waited for it.
type reportedOutcome struct {
	outcome work.Outcome
	owner   ident.ProcessID
}

func newPartition(s *Service, id ident.PartitionID) *partition {
	return &partition{
		id: id, service: s, reportedOutcomes: map[ident.TaskID]reportedOutcome{}, inFlight: map[ident.TaskID]*inFlightTask{},
		surveyRunning: make(chan struct{}, 1),
	}
}

// Run takes over the partition whenever this process should be its home, and ends the term when another process should.
func (p *partition) Run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for ctx.Err() == nil {
		changed, stateChanged := p.service.LiveChanged(), p.changed.Changed()
		isHome := p.service.Membership.Home(p.id) == p.service.Self
		switch t := p.currentTerm(); {
		case isHome && t == nil && p.service.Directory.Loaded():
			if p.clearFenced() {
				pause.For(ctx, pause.Jitter(fencedPause, string(p.service.Self)+p.id.Key()))
			}
			p.takeOver(ctx)
			continue
		case isHome && t == nil:
			changed = p.service.Directory.Changed()
			if p.service.Directory.Loaded() {
				continue
			}
		case !isHome && t != nil:
			p.endTerm(t)
		}
		select {
		case <-changed:
		case <-stateChanged:
		case now := <-expiry.C:
			if t := p.currentTerm(); t != nil {
				t.dedup.RemoveExpired(now)
			}
		case <-ctx.Done():
		}
	}
}

// currentTerm returns the present term, or nil while this process is not the home.
func (p *partition) currentTerm() *term {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term
}

// takeOver fences the previous home at every owner and starts a term that adopts the attempts held by the owners. It
// retries until every worker is accounted for or TaskLeaseBound has passed.
func (p *partition) takeOver(ctx context.Context) {
	startTime := time.Now()
	p.advanceEpoch(ident.HomeEpoch{})
	for ctx.Err() == nil && p.service.Membership.Home(p.id) == p.service.Self {
		found := p.surveyHolders(ctx)
		if found.complete || time.Since(startTime) > p.service.TaskLeaseBound {
			p.startTerm(ctx, found)
			return
		}
		pause.For(ctx, surveyRetry)
	}
}

// advanceEpoch sets a home epoch higher than both the given one and the present one.
func (p *partition) advanceEpoch(seen ident.HomeEpoch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch = ident.HomeEpoch{Counter: max(p.epoch.Counter, seen.Counter) + 1, Process: p.service.Self}
}

func (p *partition) currentEpoch() ident.HomeEpoch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// startTerm starts a term. It adopts the requests in progress before it admits callers, because a caller that retries
// must find its request. Repeatable requests are served at once, while the journal is taken over in the background.
func (p *partition) startTerm(ctx context.Context, found survey) {
	t := newTerm(ctx, p)
	p.service.recordEvent(timeline.PartitionTakenOver, ident.TaskID{},
		fmt.Sprintf("partition %d, %d tasks", p.id, len(found.holders)))
	adopted := map[ident.TaskID]holder{}
	for task, h := range found.holders {
		if task.Index == 0 && t.dedup.Adopt(task.Work) {
			adopted[task] = h
		}
	}
	p.mu.Lock()
	p.term, p.jobs, p.jobsRestored = t, map[ident.WorkID]*jobRunner{}, false
	p.mu.Unlock()
	for task, h := range adopted {
		go t.followAdopted(h.process, port.HeldAttempt{Task: task, Attempt: h.attempt})
	}
	go t.takeOverJournal(found)
	p.changed.Signal()
}

// endTerm ends the term. Waiting callers get an error that tells them to retry at the next home, which learns of the
// requests in progress from the owners and from the journal.
func (p *partition) endTerm(t *term) {
	p.mu.Lock()
	current := p.term == t
	if current {
		p.term, p.reportedOutcomes = nil, map[ident.TaskID]reportedOutcome{}
		p.jobs = nil // the next home restores them from the journal
	}
	p.mu.Unlock()
	if !current {
		return
	}
	t.cancel()
	t.dedup.FailPending(fault.New(fault.Interrupted, "home of partition %d changed; retry with the same request id", p.id))
	p.service.recordEvent(timeline.PartitionLost, ident.TaskID{}, fmt.Sprintf("partition %d", p.id))
	p.changed.Signal()
}

// stepDown ends the term because another process took over the journal or fenced this process at the owners. The state
// of requests that this process knows may be out of date.
func (t *term) stepDown() {
	t.service.Log.Warn("stepping down: another process took over the partition", "partition", t.id)
	t.mu.Lock()
	t.fenced = true
	t.mu.Unlock()
	t.endTerm(t)
}

// clearFenced reports whether the last term ended because this process was fenced, and clears that mark.
func (p *partition) clearFenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fenced := p.fenced
	p.fenced = false
	return fenced
}

// awaitTerm waits until this process has a term as the home and returns it. It fails with StaleEpoch if another process
// should be the home.
func (p *partition) awaitTerm(ctx context.Context) (*term, error) {
	for {
		changed := p.changed.Changed()
		live := p.service.LiveChanged()
		if p.service.Membership.Home(p.id) != p.service.Self {
			return nil, fault.New(fault.StaleEpoch, "process %s is not the home of partition %d", p.service.Self, p.id)
		}
		if t := p.currentTerm(); t != nil {
			return t, nil
		}
		select {
		case <-changed:
		case <-live:
		case <-ctx.Done():
			return nil, fault.New(fault.Interrupted,
				"takeover of partition %d has not finished; retry with the same request id", p.id)
		}
	}
}
