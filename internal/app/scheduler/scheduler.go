// Package scheduler does the leader's work for one term: it takes accepted jobs from the store, places their tasks on
// workers, holds the workers, and records what has ended before it acknowledges it.
package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/port"
)

// Settings are the bounds that the platform states.
type Settings struct {
	MaxLease        time.Duration // longest hold that a worker grants
	StatusRetention time.Duration // how long the state of a finished job can be asked for
}

// hold is how long runs go on without a look. It outlasts the change of a leader: the end of its lease, the reading of
// the store and the first looks.
const hold = 3500 * time.Millisecond

// holdLength returns the length of the holds that are asked for.
func (s Settings) holdLength() time.Duration { return min(hold, s.MaxLease) }

// PeerPermitClients are the processes that can ask for permits.
type PeerPermitClients interface {
	// Peers returns the other processes that can be asked now.
	Peers() []ident.ProcessID
	RequestPermitsVia(
		ctx context.Context, peer ident.ProcessID, step workflow.StepRef, workers []ident.WorkerID,
	) (map[ident.WorkerID]permit.Ticket, error)
}

// WorkerList is the platform's list of workers.
type WorkerList interface {
	Workers(ctx context.Context) ([]pool.WorkerInfo, error)
}

// Ports are what the scheduler reaches outside its process.
type Ports struct {
	Ledger            port.TxnStore
	Records           port.RecordCodec
	Runner            port.RunClient
	Workers           WorkerList
	PermitClient      port.PermitClient // of this process
	PeerPermitClients PeerPermitClients // the others
}

// Scheduler is the leader's work for one term. It implements port.Scheduler.
type Scheduler struct {
	self     ident.ProcessID
	settings Settings
	ports    Ports
	table    *route.Table
	term     leadership.Term
	log      *slog.Logger
	began    time.Time
	ctx      context.Context // of the term
	end      context.CancelFunc
	running  sync.WaitGroup
	wake     chan struct{} // something to place
	commits  chan struct{} // something to record
	settled  notify.Broadcast

	mu       sync.Mutex
	ready    bool // the store has been read
	jobs     map[workflow.ID]*entry
	open     map[workflow.ID]*entry // jobs that are not over
	dirty    map[workflow.ID]*entry // jobs with progress that no commit carries
	keepers  map[ident.WorkerID]*keeper
	unseen   map[ident.WorkerID]port.WorkerRecord // workers of the last leader that were not seen yet
	strays   map[workflow.ID][]stray              // runs of jobs that are not known yet
	enlisted ident.Revision                       // of the record of workers
	recorded map[ident.WorkerID]bool              // workers of the record that may get orders
	outdated bool                                 // the record has more workers than that
	advisers map[ident.ProcessID]time.Time        // until when each is busy with calls for permits
	shares   map[string]*permit.AllowedShare      // of the workers that each queue's policy allows
}

// entry is a job with what the scheduler keeps beside the aggregate.
type entry struct {
	flow     *workflow.Workflow
	created  ident.Revision // of the job's record; 0 when it is not known
	queue    route.Queue    // as it was when the job was accepted
	accepted time.Time
	permits  map[workflow.StepRef]*permit.Permits
	avoid    map[workflow.TaskRef]map[ident.WorkerID]bool // workers on which the task failed
	work     map[workflow.StepRef]*pool.DurationEstimate  // what the tasks of a step take
	revision ident.Revision                               // of the progress record; 0 while there is none
	version  uint64                                       // counts changes of the progress
	stored   uint64                                       // version that the record has
	carried  bool                                         // a commit with the job is in progress
	shown    workflow.State                               // recorded state
	finished time.Time                                    // when the recorded state became final
}

// New returns the work for a term; Run does it.
func New(
	self ident.ProcessID, settings Settings, ports Ports, table *route.Table, term leadership.Term, log *slog.Logger,
) *Scheduler {
	return &Scheduler{
		self: self, settings: settings, ports: ports, table: table, term: term, log: log.With("term", term.Number),
		wake: make(chan struct{}, 1), commits: make(chan struct{}, committers),
		jobs: map[workflow.ID]*entry{}, open: map[workflow.ID]*entry{}, dirty: map[workflow.ID]*entry{},
		keepers: map[ident.WorkerID]*keeper{}, unseen: map[ident.WorkerID]port.WorkerRecord{},
		strays:   map[workflow.ID][]stray{},
		recorded: map[ident.WorkerID]bool{}, advisers: map[ident.ProcessID]time.Time{},
		shares: map[string]*permit.AllowedShare{},
	}
}

// Run works until the context ends or the process turns out to lead no more.
func (s *Scheduler) Run(ctx context.Context) {
	s.began = time.Now()
	s.ctx, s.end = context.WithCancel(ctx)
	defer s.end()
	asOf, ok := s.load(s.ctx)
	if !ok {
		return
	}
	s.running.Go(func() { s.watchJobs(s.ctx, asOf) })
	s.running.Go(func() { s.watchWorkers(s.ctx) })
	s.running.Go(func() { s.placeAll(s.ctx) })
	s.running.Go(func() { s.forgetFinished(s.ctx) })
	for range committers {
		s.running.Go(func() { s.record(s.ctx) })
	}
	<-s.ctx.Done()
	s.running.Wait()
}

// lose ends the term: another process leads.
func (s *Scheduler) lose(reason string, err error) {
	if s.ctx.Err() == nil {
		s.log.Warn("term lost", "reason", reason, "error", err)
	}
	s.end()
}

// poke makes the placement look again.
func (s *Scheduler) poke() {
	select {
	case s.wake <- struct{}{}:
	default: // it will look anyway
	}
}

// queueOf returns the policy in force for a job's queue, or the one it was accepted under once the queue is gone.
func (s *Scheduler) queueOf(e *entry) route.Queue {
	if q, ok := s.table.Queue(e.queue.Name); ok {
		return q
	}
	return e.queue
}

// add takes a job that the store holds. The lock is held.
func (s *Scheduler) add(job port.AcceptedJob) *entry {
	e := &entry{
		flow: workflow.New(job.Spec), queue: job.Queue, accepted: job.AcceptedAt,
		permits: map[workflow.StepRef]*permit.Permits{}, avoid: map[workflow.TaskRef]map[ident.WorkerID]bool{},
		work: map[workflow.StepRef]*pool.DurationEstimate{},
	}
	s.jobs[job.Spec.ID] = e
	s.open[job.Spec.ID] = e
	return e
}

// changed notes that the progress of a job has to be recorded. The lock is held.
func (s *Scheduler) changed(e *entry) {
	e.version++
	id := e.flow.Spec().ID
	s.dirty[id] = e
	if e.flow.State().Final() {
		delete(s.open, id)
	}
	select {
	case s.commits <- struct{}{}:
	default: // every committer is about to look
	}
}
