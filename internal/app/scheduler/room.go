package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// roomInterval is the interval at which the leader determines for which jobs there is room.
const roomInterval = 250 * time.Millisecond

// roomKeeper holds what the leader knows of room and of the shares of accounts.
type roomKeeper struct {
	room    *admission.Room
	shares  *admission.Shares
	stated  admission.Statement
	records *port.RefusalRecorder
}

func newRoomKeeper(store port.TxnStore) roomKeeper {
	return roomKeeper{
		records: port.NewRefusalRecorder(store),
		room:    admission.NewRoom(), shares: admission.NewShares(),
	}
}

// watchRoom states for which jobs there is room, until the term ends.
func (s *Scheduler) watchRoom(ctx context.Context) {
	for pause.For(ctx, roomInterval) {
		now := time.Now()
		s.mu.Lock()
		s.observeStarts(now)
		s.observeRoom(now)
		stated := s.room.stated
		s.mu.Unlock()
		if s.ports.ObserveRoom != nil {
			s.ports.ObserveRoom(stated, now)
		}
	}
}

// Room returns the latest statement about room.
func (s *Scheduler) Room() admission.Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room.stated
}

// observeRoom states for which jobs there is room. Nothing is stated while runs of earlier terms are unknown, because their workers look
// free or their tasks seem to wait. While the leader does not keep up, tasks wait for it rather than for room, and questions about each job
// would take the time that it lacks: processes then refuse jobs without asking. The lock is held.
func (s *Scheduler) observeRoom(now time.Time) {
	config := s.table.Config()
	s.room.stated = admission.Statement{}
	if !s.accounted || !refusesJobs(&config) {
		return
	}
	if !s.progress.Behind() && s.term.Lateness.For(now) == 0 {
		s.stateRoom(&config, now)
	}
	s.stateShedding(&config)
}

// stateRoom compares what waits with the workers. The lock is held.
func (s *Scheduler) stateRoom(config *route.Config, now time.Time) {
	s.room.shares.Prune(now)
	services := s.serviceLoads(config, now)
	s.room.room.Retain(func(service string) bool { return services[service] != nil })
	for _, name := range slices.Sorted(maps.Keys(services)) {
		service := services[name]
		loads := make([]admission.Load, 0, len(service.loads))
		for _, load := range service.loads {
			loads = append(loads, *load)
		}
		changed := s.room.room.Observe(name, loads)
		if config.Accounts.Len() > 0 { // without them there are no shares
			s.logRoom(changed)
		}
	}
	s.room.stated = s.room.room.Statement(now)
}

func (s *Scheduler) logRoom(changed []admission.LevelState) {
	for _, level := range changed {
		log := s.log.With("service", level.Service, "priority", level.Priority, "wait_ms", level.Wait.Milliseconds(), "used", level.Used,
			"waiting", level.Waiting)
		if level.RefusesExcess {
			log.Info("no room for jobs beyond shares")
		} else {
			log.Info("room for jobs again")
		}
	}
}

// refusesJobs reports whether jobs may be refused for want of room.
func refusesJobs(config *route.Config) bool {
	return config.Accounts.Len() > 0 ||
		slices.ContainsFunc(config.Queues, func(q route.Queue) bool { return q.Objective.IsSet() })
}

// serviceLoad is what uses the workers of a service and waits for them.
type serviceLoad struct {
	pool.ServiceUsage
	loads map[int]*admission.Load // by priority
}

func (l *serviceLoad) at(priority int) *admission.Load {
	load := l.loads[priority]
	if load == nil {
		load = &admission.Load{Priority: priority}
		l.loads[priority] = load
	}
	return load
}

// addRuns adds what runs on the workers.
func (l *serviceLoad) addRuns() {
	for priority, use := range l.Uses {
		load := l.at(priority)
		load.Used, load.Lasting = use.All.DominantShare(l.Capacity), use.Lasting.DominantShare(l.Capacity)
	}
}

// serviceLoads returns the load of the services of all queues. Tasks that may still run elsewhere do not wait. The lock is held.
func (s *Scheduler) serviceLoads(config *route.Config, now time.Time) map[string]*serviceLoad {
	services := map[string]*serviceLoad{}
	for i := range config.Queues {
		queue := &config.Queues[i]
		if services[queue.Service] == nil {
			usage := pool.Usage(queue.Service, s.workers(), now)
			services[queue.Service] = &serviceLoad{usage, map[int]*admission.Load{}}
			services[queue.Service].addRuns()
		}
		load := services[queue.Service].at(queue.Priority)
		if slack := queue.Objective.Slack; slack > 0 && (load.MaxWait == 0 || slack < load.MaxWait) {
			load.MaxWait = slack
		}
	}
	for _, c := range s.queue.steps.Steps() {
		if service := services[c.queue.Service]; service != nil {
			s.addWaiting(service, c)
		}
	}
	return services
}

// addWaiting adds the tasks of a step that wait. Those that no worker can run take no room from others. The lock is held.
func (s *Scheduler) addWaiting(service *serviceLoad, c *candidate) {
	step := c.entry.workflow.Step(c.ref)
	if !service.MayHold(step) {
		return
	}
	size := pool.ReservedSize(step).DominantShare(service.Capacity) * float64(c.entry.workflow.WaitingCount(c.ref))
	load := service.at(c.queue.Priority)
	load.Waiting += size
	if step.LongRunning {
		load.Lasting += size
	} else {
		load.Work += time.Duration(size * float64(s.expectedDuration(c)))
	}
}

// expectedDuration returns how long tasks of a step take, from those that are done, or else from the estimate and what tasks of the queue
// took. The lock is held.
func (s *Scheduler) expectedDuration(c *candidate) time.Duration {
	if mean := c.step.duration.Mean(); mean > 0 {
		return mean
	}
	return objective.ExpectedDuration(c.entry.workflow.Step(c.ref).Estimate, s.history(c.queue.Name).Typical())
}

// maxAnnouncementAge is the age of a job from which on it says nothing about the present rate of its account: it was read from the store
// late, or announced after a change of leaders together with all that were accepted meanwhile.
const maxAnnouncementAge = time.Second

// countJob counts an accepted job against the share of its account, and marks it if it is beyond it while there is no room. The lock is held.
func (s *Scheduler) countJob(job *port.AcceptedJob, now time.Time) {
	if job.Account == "" || now.Sub(job.AcceptedAt) > maxAnnouncementAge {
		return
	}
	if known, ok := s.table.Config().Accounts.Get(job.Account); ok && known.Share > 0 {
		level := admission.Level{Service: job.Queue.Service, Priority: job.Queue.Priority}
		excess := admission.IsExcess(job.Spec.ID, job.Account, level, known.Share, s.room.shares, s.room.room, now)
		job.Excess = job.Excess || excess
	}
}

// Admit implements port.Scheduler. It is called before the job is stored, by a process that has been told that there may be no room.
func (s *Scheduler) Admit(ctx context.Context, request admission.Request) (admission.Verdict, error) {
	defer s.guardCall()
	verdict, err := s.decideAdmission(request)
	if err != nil || !verdict.Refused() || !request.Record {
		return verdict, err
	}
	recorded, err := s.room.records.Record(ctx, request.Job, time.Now())
	if err == nil && !recorded {
		return admission.Verdict{}, nil // it is stored
	}
	return verdict, err
}

func (s *Scheduler) decideAdmission(request admission.Request) (admission.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready || !s.accounted {
		return admission.Verdict{}, s.errNotReady()
	}
	if _, finished := s.finished[request.Job]; finished || s.jobs[request.Job] != nil {
		return admission.Verdict{}, nil
	}
	now := time.Now()
	config := s.table.Config()
	for i := range config.Queues {
		if q := &config.Queues[i]; q.Name == request.Queue {
			request.LatestStart = request.Chain.LatestStart(q.Objective, s.history(q.Name).Typical())
		}
	}
	known, _ := config.Accounts.Get(request.Account)
	fits := func() bool {
		return pool.Fits(request.Level.Service, s.workers(), request.Size, request.Count, now)
	}
	verdict := s.room.stated.Level(request.Level).Shed(request)
	if !verdict.Refused() {
		verdict = admission.Decide(request, known.Share, s.room.shares, s.room.room, fits, now)
	}
	if verdict.Refused() {
		s.room.room.NoteRefusal(request.Account, now)
	}
	return verdict, nil
}

// roomByPriority returns the longest expected wait for room of new jobs, by priority. The lock is held.
func (s *Scheduler) roomByPriority() map[int]time.Duration {
	waits := map[int]time.Duration{}
	for _, level := range s.room.stated.Levels {
		waits[level.Priority] = max(waits[level.Priority], level.Wait)
	}
	return waits
}
