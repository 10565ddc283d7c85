package home

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// surveyRetry is the pause between two surveys of the owners.
const surveyRetry = 250 * time.Millisecond

// survey is the result of asking all live processes which attempts of a partition they hold.
type survey struct {
	holders  map[ident.TaskID]holder
	complete bool // every worker is owned by a process that responded, or nothing can be running on it any more
	fenced   bool // a process has seen a higher home epoch: another process took over the partition
}

// holder is the process that holds an attempt that is queued or running or whose outcome is retained.
type holder struct {
	process ident.ProcessID
	attempt ident.Attempt
}

// surveyHolders asks every live process which attempts it holds, and fences previous homes there.
func (p *partition) surveyHolders(ctx context.Context) survey {
	found := survey{holders: map[ident.TaskID]holder{}, complete: true}
	covered := map[ident.WorkerID]bool{}
	for _, peer := range p.service.Membership.Live() {
		held, err := p.takeHomeAt(ctx, peer.ID)
		if err != nil {
			p.service.Log.Debug("could not get the held attempts of a process",
				"partition", p.id, "peer", peer.ID, "error", err)
			// A draining process claims no more workers: it can start work only on workers that it still owns, and those
			// are not covered unless another process owns them now. So a draining process that has exited is not waited for.
			found.complete = found.complete && peer.Draining
			found.fenced = found.fenced || fault.Is(err, fault.StaleEpoch)
			continue
		}
		for _, t := range held.Tasks {
			if t.Attempt >= found.holders[t.Task].attempt {
				found.holders[t.Task] = holder{peer.ID, t.Attempt}
			}
		}
		for _, w := range append(held.Workers, held.Unreachable...) {
			covered[w] = true
		}
	}
	for _, vm := range p.service.Directory.VMs(port.RoleWorker) {
		found.complete = found.complete && covered[ident.WorkerID(vm.ID)]
	}
	return found
}

// takeHomeAt asks one process which attempts it holds. It fails with StaleEpoch if the process has seen a higher home
// epoch. If this process should be the home, the next survey then uses an even higher epoch.
func (p *partition) takeHomeAt(ctx context.Context, peer ident.ProcessID) (port.TakeHomeReply, error) {
	epoch := p.currentEpoch()
	held, err := p.service.Peers.TakeHome(ctx, peer, port.TakeHome{Partition: p.id, Home: epoch})
	if err != nil || !epoch.Less(held.HighestEpoch) {
		return held, err
	}
	if p.service.Membership.Home(p.id) == p.service.Self {
		p.advanceEpoch(held.HighestEpoch)
	}
	return port.TakeHomeReply{}, fault.New(fault.StaleEpoch,
		"process %s has seen the higher home epoch %d of partition %d", peer, held.HighestEpoch.Counter, p.id)
}

// addReported keeps an outcome that an owner reported. It returns false if this home does not need the outcome, so that
// the owner may discard it.
func (p *partition) addReported(r reportedOutcome) bool {
	p.mu.Lock()
	t := p.term
	needed := t == nil || !t.isJournalRead() || t.dedup.InProgress(r.outcome.Task.Work) ||
		p.inFlight[r.outcome.Task] != nil
	if needed {
		p.reportedOutcomes[r.outcome.Task] = r
	}
	p.mu.Unlock()
	p.changed.Signal()
	return needed
}

// isJournalRead reports whether the journal has been read. From then on, a request that the deduplication table does
// not contain is not in progress.
func (t *term) isJournalRead() bool {
	select {
	case <-t.journalRead:
		return true
	default:
		return false
	}
}

// takeUnneeded removes and returns the reported outcomes of requests that have completed or are not known.
func (t *term) takeUnneeded() []reportedOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unneeded []reportedOutcome
	for task, r := range t.reportedOutcomes {
		if !t.dedup.InProgress(task.Work) && t.inFlight[task] == nil {
			unneeded = append(unneeded, r)
			delete(t.reportedOutcomes, task)
		}
	}
	return unneeded
}

// takeReported removes and returns the reported outcome of an attempt, if there is one.
func (p *partition) takeReported(task ident.TaskID, attempt ident.Attempt) (reportedOutcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.reportedOutcomes[task]
	if !ok || r.outcome.Attempt != attempt {
		return reportedOutcome{}, false
	}
	delete(p.reportedOutcomes, task)
	return r, true
}

// reportedAttempt returns the attempt of a task whose outcome has been reported, if any.
func (p *partition) reportedAttempt(task ident.TaskID) (ident.Attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.reportedOutcomes[task]
	return r.outcome.Attempt, ok
}

// sharedSurvey is a survey for which any number of goroutines may wait.
type sharedSurvey struct {
	done  chan struct{}
	found survey
}

// awaitSurvey returns the result of a survey that began after the call. Concurrent callers share it: when an owner of a
// thousand tasks fails, the other owners are asked a few times instead of a thousand times. It returns false if ctx
// ends.
func (p *partition) awaitSurvey(ctx context.Context) (survey, bool) {
	p.mu.Lock()
	run := p.nextSurvey
	if run == nil {
		run = &sharedSurvey{done: make(chan struct{})}
		p.nextSurvey = run
		go p.runSharedSurvey(ctx, run)
	}
	p.mu.Unlock()
	select {
	case <-run.done:
		return run.found, ctx.Err() == nil
	case <-ctx.Done():
		return survey{}, false
	}
}

// runSharedSurvey waits until the shared survey in progress has ended, and then runs the next one.
func (p *partition) runSharedSurvey(ctx context.Context, run *sharedSurvey) {
	p.surveyRunning <- struct{}{}
	defer func() { <-p.surveyRunning }()
	p.mu.Lock()
	p.nextSurvey = nil
	p.mu.Unlock()
	run.found = p.surveyHolders(ctx)
	close(run.done)
}

// attachTo waits at the owner for the outcome of an attempt that it holds. It fails with NotFound, Interrupted or
// Unavailable if the owner does not hold the attempt or cannot be reached.
func (p *partition) attachTo(ctx context.Context, owner ident.ProcessID, call port.Place) (work.Outcome, error) {
	call.Attach = true
	p.reassignOwner(call.Spec.ID, owner)
	return p.service.Peers.Place(ctx, owner, call)
}

// notReported reports whether err, returned by attachTo, leaves open what became of the attempt: the owner does not
// hold it or could not be reached.
func notReported(err error) bool {
	return fault.Is(err, fault.Interrupted) || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Unavailable)
}
