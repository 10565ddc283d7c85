package scheduler

import (
	"iter"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// candidate is a step with tasks to start.
type candidate struct {
	entry   *jobEntry
	ref     workflow.StepRef
	queue   route.Queue
	permits *permit.Permits // nil if the queue needs none
	workers []allowedWorker
	waited  time.Duration // for how long tasks of the step could not be placed
	held    bool          // tasks of the step may still run on a worker of an earlier leader
	room    int           // number of starts after which the limit of starts in progress is reached; a gang may exceed it
	partial bool          // workers holds only those on which capacity was released
	pass    *placementPass

	step     *stepEntry
	position placement.Position
	outlook  outlook
	round    uint64 // of the queue, in which the step was last found to be ready
}

// placementPass caches what all steps that are tried in one pass have in common.
type placementPass struct {
	scheduler      *Scheduler
	now            time.Time
	ticketTime     time.Time         // until when tickets have to be valid: starts that are decided now are then sent
	retryTime      time.Duration     // left for steps for which nothing but the time has changed
	retriesLeft    int               // number of them that are due and were left to the next pass
	peerNames      []ident.ProcessID // nil if not needed yet
	lowestPriority int               // of the queues of open jobs; -1 if not known yet
	underLimit     int               // number of tasks of the step that is tried that may start under the limit of its account
}

func (s *Scheduler) newPass(now time.Time) *placementPass {
	return &placementPass{
		scheduler: s, now: now, ticketTime: now.Add(s.starts.Delay()), lowestPriority: -1, underLimit: account.Unlimited,
	}
}

// idleCheckInterval is the interval at which the use of a service's workers is added up.
const idleCheckInterval = 50 * time.Millisecond

// idleCheck states whether much capacity of a service was unused at a time.
type idleCheck struct {
	at   time.Time
	idle bool
}

// isIdle reports whether the workers of the service have much unused capacity.
func (p *placementPass) isIdle(service string) bool {
	last := p.scheduler.idle[service]
	if age := p.now.Sub(last.at); age < 0 || age >= idleCheckInterval {
		last = idleCheck{p.now, pool.Idle(service, p.scheduler.workers(), p.now)}
		p.scheduler.idle[service] = last
	}
	return last.idle
}

// allowedWorker is a worker on which the policy of the queue allows a step to run.
type allowedWorker struct {
	monitor *workerMonitor
	ticket  string // empty if the queue needs no permits
}

// Position implements placement.Step.
func (c *candidate) Position() *placement.Position { return &c.position }

// allowedWorkers returns the workers on which the queue's policy allows the step, and which are recorded and not
// cordoned. The lock is held.
func (s *Scheduler) allowedWorkers(c candidate) []allowedWorker {
	var workers []allowedWorker
	if c.permits == nil {
		return s.recordedWorkers()
	}
	for worker, ticket := range c.permits.Tickets(c.pass.ticketTime) {
		m := s.monitors[worker.ID]
		if m != nil && s.mayGetRuns(m) && m.worker.Incarnation() == worker.Incarnation {
			workers = append(workers, allowedWorker{m, ticket.Value})
		}
	}
	return workers
}

// hasLowestPriority reports whether no open job has a lower priority than the given one, so that nothing can be preempted for it. The
// lock is held.
func (p *placementPass) hasLowestPriority(priority int) bool {
	if p.lowestPriority < 0 {
		for _, e := range p.scheduler.openJobs {
			p.lowestPriority = max(p.lowestPriority, p.scheduler.queueOf(e).Priority)
		}
	}
	return priority >= p.lowestPriority
}

// workers returns the workers that the leader knows. The lock is held.
func (s *Scheduler) workers() iter.Seq[*pool.Worker] {
	return func(yield func(*pool.Worker) bool) {
		for _, m := range s.monitors {
			if !yield(m.worker) {
				return
			}
		}
	}
}

// request describes the tasks of the step to the filters and scores of workers.
func (c *candidate) request(now time.Time) pool.Request {
	return pool.Request{
		Ref: c.ref, Step: c.entry.workflow.Step(c.ref), Service: c.queue.Service, Waited: c.waited, Now: now,
		Priority: c.queue.Priority, RemoteFactor: c.pass.scheduler.settings.RemoteFactor,
	}
}

// taskRequest describes a task of the step.
func (c *candidate) taskRequest(task workflow.TaskRef, now time.Time) pool.Request {
	request := c.request(now)
	request.Avoid, request.Crashes = c.entry.avoidWorkers[task], c.entry.workflow.Crashes(task)
	return request
}

// chooseWorker returns the best worker for a task. Workers on which runs have failed are the last choice. The monitor of
// the result is nil when no worker is eligible.
func (c *candidate) chooseWorker(task workflow.TaskRef, rack string, now time.Time) allowedWorker {
	request := c.taskRequest(task, now)
	best := c.bestWorker(&request, rack)
	if best.monitor == nil && !c.partial && request.NeedsLastChoice(c.allowed(), func() bool { return c.pass.isIdle(c.queue.Service) }) {
		request.LastChoice = true
		best = c.bestWorker(&request, rack)
	}
	return best
}

// allowed returns the workers on which the step may run.
func (c *candidate) allowed() iter.Seq[*pool.Worker] {
	return func(yield func(*pool.Worker) bool) {
		for _, allowed := range c.workers {
			if !yield(allowed.monitor.worker) {
				return
			}
		}
	}
}
