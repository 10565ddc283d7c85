// Package scheduler does the leader's work for one term: it reads accepted jobs from the store, places their tasks on
// workers, renews the workers' leases, and records the ends of runs before it acknowledges them.
package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Settings are limits that the platform configures.
type Settings struct {
	MaxLease        time.Duration // longest lease that a worker grants
	StatusRetention time.Duration // how long the state of a finished job can be queried
	CPUShare        float64       // CPU limit of the process as a fraction of a core; 0 if it is not known
	UsableShare     float64       // what the link of the process lets it use of that; 0 if it is not known
	RemoteFactor    float64       // how many times as long tasks take off the rack with their data; steps wait for racks if it exceeds 1
}

// maxRunLease is how long runs continue without a sync, unless the platform's limit is lower. It exceeds the duration
// of a change of leaders: the expiry of the old leader's lease, reading the store and the first syncs.
const maxRunLease = 3500 * time.Millisecond

// leaseDuration returns the length of the leases that are requested from workers.
func (s Settings) leaseDuration() time.Duration { return min(maxRunLease, s.MaxLease) }

// PeerPermitClients calls the permit service through other processes.
type PeerPermitClients interface {
	// Peers returns the other processes that can be called now.
	Peers() []ident.ProcessID
	RequestPermitsVia(
		ctx context.Context, peer ident.ProcessID, step workflow.StepRef, workers []ident.WorkerID,
	) (map[ident.WorkerID]permit.Ticket, error)
}

// WorkerList is the platform's list of workers.
type WorkerList interface {
	Workers(ctx context.Context) ([]pool.WorkerInfo, error)
}

// Ports are the scheduler's interfaces to the outside of its process.
type Ports struct {
	Store             port.TxnStore
	RecordCodec       port.RecordCodec
	RunClient         port.RunClient
	Workers           WorkerList
	PermitClient      port.PermitClient        // used by this process
	PeerPermitClients PeerPermitClients        // calls through other processes
	ObservePass       func(port.PlacementPass) // called after each pass of placement; nil if nobody observes them
	// ObserveRoom receives each statement about room and its time; nil if nobody observes them.
	ObserveRoom func(admission.Statement, time.Time)
}

// Scheduler does the leader's work for one term. It implements port.Scheduler.
type Scheduler struct {
	self           ident.ProcessID
	settings       Settings
	ports          Ports
	table          *route.Table
	term           leadership.Term
	log            *slog.Logger
	startedAt      time.Time
	ctx            context.Context // of the term
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	wake           chan struct{} // signals that tasks may be placeable
	commits        chan struct{} // signals that progress has to be recorded
	firstAnswers   chan struct{} // signals that a worker that is not recorded has answered for the first time
	restarts       chan struct{} // signals that a worker has restarted, which the worker list has to describe again
	reconnects     chan struct{} // holds a token for each sync in progress with a worker that is not reached
	progressStored notify.Broadcast

	mu               sync.Mutex
	ready            bool // the store has been read
	jobs             map[workflow.ID]*jobEntry
	tombstones       map[workflow.ID]time.Time   // ids that were cancelled before a job was stored, and when the leader learned of it
	finished         map[workflow.ID]finishedJob // jobs that are archived
	historyRead      bool                        // finished holds what earlier terms archived
	openJobs         map[workflow.ID]*jobEntry   // jobs whose state is not final
	jobsReadTo       ident.Revision              // every job that was stored up to this revision is known, or was
	dirty            map[workflow.ID]*jobEntry   // jobs with changed progress that is not being committed
	monitors         map[ident.WorkerID]*workerMonitor
	crashes          map[string]*pool.CrashHistory // by address of the workers
	authority        authority
	predecessor      predecessor
	progress         placement.Progress                   // of the passes of placement
	accounted        bool                                 // every run of earlier terms is known or has ended
	unsynced         map[ident.WorkerID]port.WorkerRecord // workers of the previous leader that have not reported their runs yet
	orphans          map[workflow.ID][]orphanRun          // runs of unknown jobs
	orphanEnds       map[workflow.ID][]orphanEnd          // ends of runs of unknown jobs
	workersRevision  ident.Revision                       // revision of the record of workers
	recorded         map[ident.WorkerID]bool              // workers of the record; false if cordoned
	recordOutdated   bool                                 // the record differs from the workers to record
	queue            waitQueue
	idle             map[string]idleCheck      // by service
	openGangs        map[workflow.ID]*jobEntry // open jobs with a gang
	roster           *workerRoster             // nil if it has to be made again
	releases         releaseLog                // capacity that placement has not used yet
	limits           accountLimits
	near             rackWaits
	observer         pool.RunObserver // of the runs on all workers
	kinds            map[workerKind]*pool.KindSpeed
	startsInProgress int                             // placed, and the request of the start has not ended
	starts           *placement.StartLimit           // of startsInProgress
	dispatcher       *permit.Dispatcher              // of calls to the permit service
	prefetchedAt     time.Time                       // when calls for steps that are held back were last planned
	allowedShares    map[string]*permit.AllowedShare // by queue
	room             roomKeeper
	demand           startDemand
	histories        map[string]*objective.History // by queue
}

// jobEntry is a job with the scheduler's own data on it.
type jobEntry struct {
	workflow        *workflow.Workflow
	createdRevision ident.Revision // revision at which the job was stored; 0 while it is not known
	hasGang         bool           // a step of the job is a gang
	queue           route.Queue    // as it was when the job was accepted
	account         account.ID     // to which the job belongs; empty if it belongs to none
	accepted        time.Time
	excess          bool            // accepted beyond the share of its account
	plan            *objective.Plan // nil if the queue has no objective
	steps           map[workflow.StepRef]*stepEntry
	avoidWorkers    map[workflow.TaskRef]map[ident.WorkerID]bool // workers on which the task failed or stalled
	revision        ident.Revision                               // revision of the progress record; 0 while there is none
	version         uint64                                       // incremented with each change of the progress
	storedVersion   uint64                                       // version in the progress record
	committing      bool                                         // a transaction with the job is in progress
	storedState     workflow.State                               // state in the progress record
	finished        time.Time                                    // when storedState became final
	crashVersion    uint64                                       // version that counts the last crash of a worker under a task
	excuses         map[workflow.TaskRef]int                     // crashes that were put down to the workers
	suspectedIn     map[workflow.TaskRef][]*pool.CrashHistory    // histories in which a task may have caused a crash
	history         map[workflow.TaskRef]*runHistory             // of tasks with a run that was given up or is done
	queued          []*candidate                                 // its steps in the queue
	isChanged       bool                                         // it is noted in waitQueue.changed
	nextChange      time.Time                                    // when it is due in waitQueue.due, if isScheduled
	isScheduled     bool
}

// stepEntry is a step of a job with the scheduler's own data on it.
type stepEntry struct {
	permits  *permit.Permits       // nil if none were needed yet
	waiting  pool.Waiting          // tasks that could not be placed
	triedIn  uint64                // number of the pass of placement that last tried the step
	wait     stepWait              // tasks that have not started, for whatever reason
	duration pool.DurationEstimate // learned
	queued   *candidate            // nil if the step is not in the queue
	aside    *asideSteps           // nil unless the step is set aside from the queue
	heldOn   []*workerMonitor      // workers that may keep capacity free for tasks of the step
	near     rackWait              // for the rack with its data
}

func (e *jobEntry) step(ref workflow.StepRef) *stepEntry {
	step := e.steps[ref]
	if step == nil {
		step = &stepEntry{}
		e.steps[ref] = step
	}
	return step
}

// New returns a scheduler for one term, which Run starts.
func New(
	self ident.ProcessID, settings Settings, ports Ports, table *route.Table, term leadership.Term, log *slog.Logger,
) *Scheduler {
	s := &Scheduler{
		self: self, settings: settings, ports: ports, table: table, term: term, log: log.With("term", term.Number),
		wake: make(chan struct{}, 1), commits: make(chan struct{}, committers),
		firstAnswers: make(chan struct{}, 1), restarts: make(chan struct{}, 1), reconnects: newReconnectSlots(settings.UsableShare),
		jobs: map[workflow.ID]*jobEntry{}, openJobs: map[workflow.ID]*jobEntry{}, finished: map[workflow.ID]finishedJob{},
		openGangs: map[workflow.ID]*jobEntry{}, idle: map[string]idleCheck{}, kinds: map[workerKind]*pool.KindSpeed{},
		tombstones: map[workflow.ID]time.Time{}, dirty: map[workflow.ID]*jobEntry{},
		monitors: map[ident.WorkerID]*workerMonitor{}, unsynced: map[ident.WorkerID]port.WorkerRecord{},
		orphans: map[workflow.ID][]orphanRun{}, orphanEnds: map[workflow.ID][]orphanEnd{},
		crashes:  map[string]*pool.CrashHistory{},
		recorded: map[ident.WorkerID]bool{}, dispatcher: permit.NewDispatcher(self),
		allowedShares: map[string]*permit.AllowedShare{}, room: newRoomKeeper(ports.Store), starts: placement.NewStartLimit(settings.UsableShare),
		histories: map[string]*objective.History{},
	}
	s.limits, s.near = newAccountLimits(s), rackWaits{scheduler: s, waiting: map[string][]*stepEntry{}}
	s.observer = s.newRunObserver()
	return s
}

// Run runs the scheduler until the context ends or the process finds that it is no longer the leader. It reports whether the
// process should let others lead, because it cannot read the store.
func (s *Scheduler) Run(ctx context.Context) (giveWay bool) {
	s.startedAt = time.Now()
	s.ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	asOf, ok, panicked := s.loadGuarded(s.ctx)
	if panicked {
		s.wg.Wait()
		return true
	}
	if !ok {
		return s.ctx.Err() == nil
	}
	s.goTask(func() { s.watchJobs(s.ctx, asOf) })
	s.goTask(func() { s.watchWorkers(s.ctx) })
	s.goTask(func() { s.awaitPredecessorSilence(s.ctx) })
	s.goTask(func() {
		if s.awaitConfig(s.ctx) {
			s.runPlacement(s.ctx)
		}
	})
	s.goTask(func() { s.reportWaits(s.ctx) })
	s.goTask(func() { s.watchRoom(s.ctx) })
	s.goTask(func() { s.readHistory(s.ctx) })
	s.goTask(func() { s.archiveFinished(s.ctx) })
	s.goTask(func() { s.deleteFinished(s.ctx) })
	for range committers {
		s.goTask(func() { s.commitProgress(s.ctx) })
	}
	<-s.ctx.Done()
	s.wg.Wait()
	return false
}

// endTerm ends the term after evidence that another process leads.
func (s *Scheduler) endTerm(reason string, err error) {
	if s.ctx.Err() == nil {
		s.log.Warn("term lost", "reason", reason, "error", err)
	}
	s.cancel()
}

// wakePlacement triggers the placement of tasks.
func (s *Scheduler) wakePlacement() {
	select {
	case s.wake <- struct{}{}:
	default: // already triggered
	}
}

// configCheckInterval is the interval at which a leader without a configuration checks for one.
const configCheckInterval = 50 * time.Millisecond

// awaitConfig waits until the process has a configuration. Without one, every queue would count as removed, and its jobs would run as
// at the time of their acceptance. It returns false when the context ends first.
func (s *Scheduler) awaitConfig(ctx context.Context) bool {
	if s.table.Config().Version > 0 {
		return true
	}
	s.log.Warn("no configuration yet; no runs are started")
	for s.table.Config().Version == 0 {
		if !pause.For(ctx, configCheckInterval) {
			return false
		}
	}
	return true
}

// queueOf returns the current settings of a job's queue, or those at the time of its acceptance if the queue has been
// removed.
func (s *Scheduler) queueOf(e *jobEntry) route.Queue {
	return s.table.Current(e.queue)
}

// addJob adds a job that the store holds. The lock is held.
func (s *Scheduler) addJob(job port.AcceptedJob) *jobEntry {
	e := &jobEntry{
		workflow: workflow.New(job.Spec), account: job.Account, hasGang: job.Spec.HasGang(), queue: job.Queue, accepted: job.AcceptedAt,
		excess: job.Excess,
		steps:  map[workflow.StepRef]*stepEntry{}, avoidWorkers: map[workflow.TaskRef]map[ident.WorkerID]bool{},
		excuses: map[workflow.TaskRef]int{}, suspectedIn: map[workflow.TaskRef][]*pool.CrashHistory{},
		history: map[workflow.TaskRef]*runHistory{},
	}
	s.jobs[job.Spec.ID] = e
	s.openJobs[job.Spec.ID] = e
	if e.hasGang {
		s.openGangs[job.Spec.ID] = e
	}
	e.workflow.OnChange(func() { s.jobChanged(e) })
	s.jobChanged(e)
	return e
}

// markDirty marks a job whose progress has to be recorded. The lock is held.
func (s *Scheduler) markDirty(e *jobEntry) {
	e.version++
	id := e.workflow.Spec().ID
	s.dirty[id] = e
	if e.workflow.State().Final() {
		delete(s.openJobs, id)
	}
	select {
	case s.commits <- struct{}{}:
	default: // enough signals are pending for every committer
	}
}
