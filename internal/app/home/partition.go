package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/ledger"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// surveyRetry is the pause between attempts to learn what the owners hold.
const surveyRetry = 250 * time.Millisecond

// partition is the goroutine of one partition: while this process should be its home, it fences the former home and
// serves the partition's requests.
type partition struct {
	id      ident.PartitionID
	service *Service

	mu      sync.Mutex
	epoch   ident.HomeEpoch
	serving bool
	ledger  *ledger.Ledger
	ended   map[ident.TaskID]work.Outcome // reported by owners; kept until the attempt's goroutine takes them
	changed notify.Broadcast
	flights map[ident.TaskID]*flight

	surveying  chan struct{} // holds an element while a shared survey runs
	nextSurvey *surveyRun    // not begun yet; may be nil

	jobs          map[ident.WorkID]*runner
	restored      bool               // the jobs were read from the journal
	tenureContext context.Context    // of the goroutines of the jobs
	endTenure     context.CancelFunc // ends them
	fenced        notify.Broadcast   // another home took the journal
}

func newPartition(s *Service, id ident.PartitionID) *partition {
	return &partition{
		id: id, service: s, ledger: ledger.New(), ended: map[ident.TaskID]work.Outcome{},
		flights: map[ident.TaskID]*flight{}, surveying: make(chan struct{}, 1), endTenure: func() {},
	}
}

// Run takes the partition whenever this process should be its home, and gives it up when another should.
func (p *partition) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, fenced := p.service.Live(), p.fenced.Changed()
		mine := p.service.Members.Home(p.id) == p.service.Self
		switch _, serving := p.tenure(); {
		case mine && !serving && p.service.Dir.Known():
			p.take(ctx)
			continue
		case mine && !serving:
			changed = p.service.Dir.Changed()
			if p.service.Dir.Known() {
				continue
			}
		case !mine && serving:
			p.giveUp()
		}
		select {
		case <-changed:
		case <-fenced:
		case <-ctx.Done():
		}
	}
}

func (p *partition) tenure() (ident.HomeEpoch, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.serving
}

// take fences the former home at every owner and adopts what the owners hold.
func (p *partition) take(ctx context.Context) {
	began := time.Now()
	p.nextEpoch(ident.HomeEpoch{})
	for ctx.Err() == nil && p.service.Members.Home(p.id) == p.service.Self {
		found := p.survey(ctx)
		if found.complete || time.Since(began) > p.service.LostAfter {
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

// serve adopts the requests that run before it lets callers in: a caller that asks again must find its request.
func (p *partition) serve(ctx context.Context, found survey) {
	p.service.record(timeline.PartitionTaken, ident.TaskID{}, fmt.Sprintf("partition %d, %d tasks", p.id, len(found.tasks)))
	var adopted []port.HeldTask
	for _, held := range found.tasks {
		if held.Task.Index == 0 && p.ledger.Adopt(held.Task.Work) {
			adopted = append(adopted, held)
		}
	}
	tenure, end := context.WithCancel(ctx)
	p.mu.Lock()
	p.serving, p.restored, p.tenureContext, p.endTenure = true, false, tenure, end
	p.jobs = map[ident.WorkID]*runner{}
	p.mu.Unlock()
	for _, held := range adopted {
		go p.followAdopted(ctx, held)
	}
	go p.restore(tenure, found)
	p.changed.Signal()
}

func (p *partition) giveUp() {
	p.mu.Lock()
	p.serving = false
	p.endTenure()
	p.jobs = nil            // the next home restores them from the journal
	p.ledger = ledger.New() // the next home learns of running requests from the owners
	p.mu.Unlock()
	p.service.record(timeline.PartitionLost, ident.TaskID{}, fmt.Sprintf("partition %d", p.id))
	p.changed.Signal()
}

// moved reports whether this process stopped being the home since it had the epoch. The next home then sees running work
// through.
func (p *partition) moved(epoch ident.HomeEpoch) bool {
	now, serving := p.tenure()
	return !serving || now != epoch
}

// await waits until the partition serves. It fails with StaleEpoch when another process should be the home.
func (p *partition) await(ctx context.Context) error {
	for {
		changed := p.changed.Changed()
		live := p.service.Live()
		if p.service.Members.Home(p.id) != p.service.Self {
			return fault.New(fault.StaleEpoch, "process %s is not the home of partition %d", p.service.Self, p.id)
		}
		if _, serving := p.tenure(); serving {
			return nil
		}
		select {
		case <-changed:
		case <-live:
		case <-ctx.Done():
			return fault.New(fault.NotReady, "partition %d has no home yet", p.id)
		}
	}
}

// survey is what the live processes hold of a partition.
type survey struct {
	tasks    []port.HeldTask
	owners   map[ident.TaskID]ident.ProcessID
	complete bool // every worker is owned by a process that answered, or nothing can run on it
}

// survey asks every live process what it holds, and fences former homes there.
func (p *partition) survey(ctx context.Context) survey {
	found := survey{owners: map[ident.TaskID]ident.ProcessID{}, complete: true}
	covered := map[ident.WorkerID]bool{}
	for _, peer := range p.service.Members.Live() {
		epoch, _ := p.tenure()
		held, err := p.service.Peers.TakeHome(ctx, peer.ID, port.TakeHome{Partition: p.id, Home: epoch})
		if err == nil && epoch.Less(held.Highest) {
			p.nextEpoch(held.Highest)
			err = fault.New(fault.StaleEpoch, "home epoch %d was seen", held.Highest.Counter)
		}
		if err != nil {
			p.service.Log.Debug("survey", "partition", p.id, "peer", peer.ID, "error", err)
			// A draining process claims nothing any more: it can start work only on workers that it still owns, and those
			// are not covered. So one that has ended need not be waited for.
			found.complete = found.complete && peer.Draining
			continue
		}
		for _, t := range held.Tasks {
			found.tasks = append(found.tasks, t)
			found.owners[t.Task] = peer.ID
		}
		for _, w := range append(held.Workers, held.Unreachable...) {
			covered[w] = true
		}
	}
	for _, vm := range p.service.Dir.VMs(port.RoleWorker) {
		found.complete = found.complete && covered[ident.WorkerID(vm.ID)]
	}
	return found
}

func (p *partition) reported(outcome work.Outcome) {
	p.mu.Lock()
	if _, ended := p.ledger.Result(outcome.Task.Work); ended && outcome.Task.Index == 0 {
		p.mu.Unlock()
		return // nobody will take it
	}
	p.ended[outcome.Task] = outcome
	p.mu.Unlock()
	p.changed.Signal()
}

func (p *partition) takeReported(task ident.TaskID, attempt ident.Attempt) (work.Outcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome, ok := p.ended[task]
	if !ok || outcome.Attempt != attempt {
		return work.Outcome{}, false
	}
	delete(p.ended, task)
	return outcome, true
}
