package home

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// surveyRetry is the pause between attempts to learn what the owners hold.
const surveyRetry = 250 * time.Millisecond

// survey is what the live processes hold of a partition.
type survey struct {
	holders   map[ident.TaskID]holder
	complete  bool // every worker is owned by a process that answered, or nothing can run on it
	outranked bool // a process has seen a higher home epoch: another process took the partition
}

// holder is the process that holds an attempt, waiting, running or with its outcome.
type holder struct {
	process ident.ProcessID
	attempt ident.Attempt
}

// survey asks every live process what it holds, and fences former homes there.
func (p *partition) survey(ctx context.Context) survey {
	found := survey{holders: map[ident.TaskID]holder{}, complete: true}
	covered := map[ident.WorkerID]bool{}
	for _, peer := range p.service.Members.Live() {
		held, err := p.ask(ctx, peer.ID)
		if err != nil {
			p.service.Log.Debug("survey", "partition", p.id, "peer", peer.ID, "error", err)
			// A draining process claims nothing any more: it can start work only on workers that it still owns, and
			// those are not covered. So one that has ended need not be waited for.
			found.complete = found.complete && peer.Draining
			found.outranked = found.outranked || fault.Is(err, fault.StaleEpoch)
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

// ask asks one process what it holds. It fails with StaleEpoch when the process has seen a higher home epoch; the next
// survey uses a higher one still, if this process should be the home.
func (p *partition) ask(ctx context.Context, peer ident.ProcessID) (port.TakeHomeReply, error) {
	epoch := p.currentEpoch()
	held, err := p.service.Peers.TakeHome(ctx, peer, port.TakeHome{Partition: p.id, Home: epoch})
	if err != nil || !epoch.Less(held.HighestEpoch) {
		return held, err
	}
	if p.service.Members.Home(p.id) == p.service.Self {
		p.nextEpoch(held.HighestEpoch)
	}
	return port.TakeHomeReply{}, fault.New(fault.StaleEpoch, "home epoch %d was seen", held.HighestEpoch.Counter)
}

// report notes an outcome that an owner told without being asked. It returns false when nobody needs it, so that the
// owner may forget it.
func (p *partition) report(r reported) bool {
	p.mu.Lock()
	t := p.term
	needed := t == nil || !t.knowsAll() || t.ledger.InProgress(r.outcome.Task.Work) || p.flights[r.outcome.Task] != nil
	if needed {
		p.ended[r.outcome.Task] = r
	}
	p.mu.Unlock()
	p.changed.Signal()
	return needed
}

// knowsAll reports whether the journal was read, so that a request that the ledger does not have is not open.
func (t *term) knowsAll() bool {
	select {
	case <-t.journaled:
		return true
	default:
		return false
	}
}

// takeUnneeded removes and returns the reported outcomes of requests that have ended or are not known.
func (t *term) takeUnneeded() []reported {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unneeded []reported
	for task, r := range t.ended {
		if !t.ledger.InProgress(task.Work) && t.flights[task] == nil {
			unneeded = append(unneeded, r)
			delete(t.ended, task)
		}
	}
	return unneeded
}

func (p *partition) takeReported(task ident.TaskID, attempt ident.Attempt) (reported, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.ended[task]
	if !ok || r.outcome.Attempt != attempt {
		return reported{}, false
	}
	delete(p.ended, task)
	return r, true
}

func (p *partition) reportedAttempt(task ident.TaskID) (ident.Attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.ended[task]
	return r.outcome.Attempt, ok
}

// surveyRun is a survey that any number of goroutines wait for.
type surveyRun struct {
	done  chan struct{}
	found survey
}

// surveyed returns a survey that began after the call. Callers share it: when an owner of a thousand tasks dies, the
// other owners are asked a few times and not a thousand times. It returns false when the context ends.
func (p *partition) surveyed(ctx context.Context) (survey, bool) {
	p.mu.Lock()
	run := p.nextSurvey
	if run == nil {
		run = &surveyRun{done: make(chan struct{})}
		p.nextSurvey = run
		go p.runSurvey(ctx, run)
	}
	p.mu.Unlock()
	select {
	case <-run.done:
		return run.found, ctx.Err() == nil
	case <-ctx.Done():
		return survey{}, false
	}
}

// runSurvey waits for the survey under way, if any, and then runs the next one.
func (p *partition) runSurvey(ctx context.Context, run *surveyRun) {
	p.surveying <- struct{}{}
	defer func() { <-p.surveying }()
	p.mu.Lock()
	p.nextSurvey = nil
	p.mu.Unlock()
	run.found = p.survey(ctx)
	close(run.done)
}

// attach waits at the owner for an attempt that it holds. It fails with NotFound or Interrupted when the owner does not
// hold it any more.
func (p *partition) attach(ctx context.Context, owner ident.ProcessID, call port.Place) (work.Outcome, error) {
	call.Attach = true
	p.redirect(call.Spec.ID, owner)
	return p.service.Peers.Place(ctx, owner, call)
}

// gone reports whether the owner that was asked says nothing of the attempt.
func gone(err error) bool {
	return fault.Is(err, fault.Interrupted) || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Unavailable)
}
