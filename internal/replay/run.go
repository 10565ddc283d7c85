package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/routing"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Options configure a replay.
type Options struct {
	Shape          Shape
	Policy         fleet.Policy
	Seed           uint64        // seed of random routing choices
	DigestInterval time.Duration // interval at which an owner publishes its digest
	Duration       time.Duration // in virtual time
	WarmUp         time.Duration // arrivals during this initial period are not measured
}

const (
	hopLatency     = time.Millisecond // one-way delay between processes
	sampleInterval = time.Second
	// reportInterval is how often each worker reports to its owner if no task ends there.
	reportInterval = 2 * time.Second
	// meanRetryDelay is the mean delay before a home process offers rejected work again.
	meanRetryDelay = time.Second
)

// job is the state of an arrival at its home process.
type job struct {
	*Arrival
	home       int
	tasks      []*task
	rejectedBy map[ident.ProcessID]bool // owners that have rejected the job since the last retry delay
	done       bool
}

// task is the state of one task of a job.
type task struct {
	job          *job
	spec         work.Spec
	owner        int
	worker       *worker // nil unless the task is running
	starts       int
	startedAt    time.Duration // time of the last start
	firstStart   time.Duration // time of the first start
	savedRunTime time.Duration // run time of preempted attempts, saved by checkpoints
	ended        bool
}

type owner struct {
	id     ident.ProcessID
	zone   ident.Zone
	fleet  *fleet.Fleet
	digest fleet.Digest // last published digest
}

type worker struct {
	view  fleet.WorkerView
	owner int
}

type run struct {
	Options
	epoch      time.Time
	now        time.Duration
	eventQueue eventQueue
	owners     []*owner
	workers    map[ident.WorkerID]*worker
	workerList []*worker
	tasks      map[ident.TaskID]*task
	random     *rand.Rand
	stats      *stats
}

// Run replays the arrivals and returns the measurements. It fails with Internal if a decision of the fleet is invalid:
// a worker was assigned more than its free capacity, or a task that was already running or finished was assigned.
func Run(options Options, arrivals []Arrival) (Result, error) {
	r := &run{
		Options: options, epoch: time.Unix(1_000_000_000, 0), workers: map[ident.WorkerID]*worker{},
		tasks: map[ident.TaskID]*task{}, random: rand.New(rand.NewPCG(options.Seed, 2)),
		stats: newStats(options, arrivals),
	}
	r.initCell()
	for i := range arrivals {
		r.add(&arrivals[i])
	}
	for r.eventQueue.Len() > 0 {
		e := r.eventQueue.next()
		if e.at > r.Duration {
			break
		}
		r.now = e.at
		if err := r.handle(e); err != nil {
			return Result{}, fault.Wrap(err, "at %v", r.now)
		}
	}
	r.now = r.Duration
	return r.stats.result(r), nil
}

func (r *run) clock() time.Time { return r.epoch.Add(r.now) }

func (r *run) initCell() {
	for o := range r.Shape.Owners {
		r.owners = append(r.owners, &owner{
			id: ident.ProcessID(fmt.Sprintf("process-%02d", o)), zone: r.Shape.zone(o), fleet: fleet.New(r.Policy),
		})
		offset := r.DigestInterval * time.Duration(o) / time.Duration(r.Shape.Owners)
		r.eventQueue.add(event{at: offset, kind: digestPublication, owner: o})
		r.eventQueue.add(event{at: reportInterval / time.Duration(o+2), kind: workerReport, owner: o})
	}
	for i := range r.Shape.Workers {
		w := &worker{view: r.Shape.view(i), owner: r.Shape.owner(i)}
		r.workers[w.view.Worker] = w
		r.workerList = append(r.workerList, w)
		r.owners[w.owner].fleet.UpdateWorker(r.epoch, w.view)
	}
	for _, o := range r.owners {
		o.digest = o.fleet.Digest(r.epoch)
	}
	r.eventQueue.add(event{at: sampleInterval, kind: measurement})
}

func (r *run) add(a *Arrival) {
	j := &job{Arrival: a, rejectedBy: map[ident.ProcessID]bool{}}
	for i := range max(a.GangSize, 1) {
		t := &task{job: j, spec: a.spec(i, r.epoch)}
		t.spec.Quota = a.Quota.Prorate(1, int64(r.Shape.Owners))
		j.tasks = append(j.tasks, t)
		r.tasks[t.spec.ID] = t
	}
	j.home = int(j.tasks[0].spec.ID.Work.Partition()) % r.Shape.Owners
	r.eventQueue.add(event{at: a.At, kind: arrival, job: j})
	if a.Class == work.Request && a.Deadline > 0 {
		r.eventQueue.add(event{at: a.At + a.Deadline, kind: deadline, job: j})
	}
	if a.CancelAt > 0 {
		r.eventQueue.add(event{at: a.CancelAt, kind: cancellation, job: j})
	}
}

func (r *run) handle(e event) error {
	switch e.kind {
	case arrival:
		return r.offer(e.job)
	case taskFinish:
		return r.finish(e)
	case workerReport:
		return r.reportWorkers(e.owner)
	case preemptionDone:
		return r.finishPreemption(e)
	case digestPublication:
		o := r.owners[e.owner]
		o.digest = o.fleet.Digest(r.clock())
		r.eventQueue.add(event{at: r.now + r.DigestInterval, kind: digestPublication, owner: e.owner})
	case cancellation:
		r.cancel(e.job)
	case deadline:
		r.expire(e.job)
	case measurement:
		r.stats.sample(r)
		r.eventQueue.add(event{at: r.now + sampleInterval, kind: measurement})
	}
	return nil
}

// offer sends the job to an owner chosen by its home process.
func (r *run) offer(j *job) error {
	if j.done || j.tasks[0].worker != nil {
		return nil
	}
	o, ok := r.chooseOwner(j)
	if !ok {
		r.reject(j)
		return nil
	}
	if len(j.tasks) > 1 {
		return r.offerGang(j, o)
	}
	t := j.tasks[0]
	t.owner = o
	assignment, placed, err := r.owners[o].fleet.Schedule(r.clock(), t.spec)
	switch {
	case err != nil:
		return r.handleRejection(j, o, err)
	case placed:
		return r.start(t, assignment.Worker)
	}
	r.preempt(o)
	return nil
}

func (r *run) offerGang(j *job, o int) error {
	specs := make([]work.Spec, len(j.tasks))
	for i, t := range j.tasks {
		specs[i], t.owner = t.spec, o
	}
	assignments, _, err := r.owners[o].fleet.ScheduleGang(r.clock(), specs)
	if err != nil {
		return r.handleRejection(j, o, err)
	}
	return r.apply(fleet.Decisions{Assigned: assignments})
}

// chooseOwner returns the owner to try next, chosen by the routing code of a home process.
func (r *run) chooseOwner(j *job) (int, bool) {
	home := r.owners[j.home]
	var candidates []routing.Candidate
	for i, o := range r.owners {
		if j.rejectedBy[o.id] {
			continue
		}
		c := routing.Candidate{Process: o.id, Zone: o.zone, Digest: o.digest, Self: i == j.home}
		if c.Self {
			c.Digest = o.fleet.Digest(r.clock())
		}
		candidates = append(candidates, c)
	}
	id, ok := routing.ChooseOwner(r.random, candidates, j.tasks[0].spec, home.zone)
	for i, o := range r.owners {
		if o.id == id {
			return i, ok
		}
	}
	return 0, false
}

// reportWorkers delivers a report of every worker to its owner.
func (r *run) reportWorkers(o int) error {
	for _, w := range r.workerList {
		if w.owner != o {
			continue
		}
		if err := r.apply(r.owners[o].fleet.UpdateWorker(r.clock(), w.view)); err != nil {
			return err
		}
	}
	r.preempt(o)
	r.eventQueue.add(event{at: r.now + reportInterval, kind: workerReport, owner: o})
	return nil
}

// checkpointDuration is how long a worker takes to save the progress of a task and stop it.
const checkpointDuration = 100 * time.Millisecond

// preempt preempts running tasks that the fleet selects. In the replay, every worker completes its checkpoints in time.
func (r *run) preempt(o int) {
	for _, p := range r.owners[o].fleet.SelectPreemptions(r.clock()) {
		t := r.tasks[p.Task]
		r.eventQueue.add(event{at: r.now + checkpointDuration, kind: preemptionDone, task: t, startNumber: t.starts})
	}
}

// finishPreemption ends a preempted attempt; the home process offers the remaining work again.
func (r *run) finishPreemption(e event) error {
	t := e.task
	if t.worker == nil || t.starts != e.startNumber {
		return nil
	}
	t.savedRunTime += r.now - t.startedAt
	t.spec.Attempt++
	r.stats.preempted++
	if err := r.releaseWorker(t); err != nil {
		return err
	}
	return r.offer(t.job)
}

// handleRejection makes the home process try another owner, or reject the job if its deadline cannot be met.
func (r *run) handleRejection(j *job, o int, err error) error {
	if fault.Is(err, fault.Conflict) {
		return fault.WrapAs(fault.Internal, err, "offer task to owner")
	}
	if fault.Is(err, fault.DeadlineExceeded) {
		r.reject(j)
		return nil
	}
	j.rejectedBy[r.owners[o].id] = true
	r.eventQueue.add(event{at: r.now + 2*hopLatency, kind: arrival, job: j})
	return nil
}

// reject ends a request as not run; other work is offered again after a random delay.
func (r *run) reject(j *job) {
	clear(j.rejectedBy)
	if j.Class == work.Request {
		j.done = true
		r.stats.recordRejection(j)
		return
	}
	pause := time.Duration((0.5 + r.random.Float64()) * float64(meanRetryDelay))
	r.eventQueue.add(event{at: r.now + pause, kind: arrival, job: j})
}

func (r *run) start(t *task, id ident.WorkerID) error {
	w := r.workers[id]
	if t.worker != nil || t.ended {
		return fault.New(fault.Internal, "task %s was assigned while running or after its end", t.spec.ID)
	}
	w.view.Free = w.view.Free.Sub(t.spec.Size)
	if !t.spec.Size.Fits(w.view.Free.Add(t.spec.Size)) {
		return fault.New(fault.Internal, "task %s does not fit into the free capacity of %s", t.spec.ID, id)
	}
	t.worker, t.startedAt = w, r.now
	if t.starts == 0 {
		t.firstStart = r.now
		r.stats.recordStart(r, t)
	}
	t.starts++
	r.owners[t.owner].fleet.Confirm(t.spec.ID)
	r.stats.addReservation(t, 1)
	r.eventQueue.add(event{at: r.now + t.job.RunTime - t.savedRunTime, kind: taskFinish, task: t, startNumber: t.starts})
	return nil
}

func (r *run) finish(e event) error {
	t := e.task
	if t.worker == nil || t.starts != e.startNumber {
		return nil
	}
	t.ended = true
	r.stats.recordFinish(r, t)
	return r.releaseWorker(t)
}

// releaseWorker ends the attempt on its worker and assigns the freed capacity to queued tasks.
func (r *run) releaseWorker(t *task) error {
	w := t.worker
	t.worker = nil
	w.view.Free = w.view.Free.Add(t.spec.Size)
	r.stats.addReservation(t, -1)
	f := r.owners[w.owner].fleet
	f.Finish(work.Outcome{Task: t.spec.ID, Attempt: t.spec.Attempt, OK: t.ended, RunTime: r.now - t.startedAt})
	return r.apply(f.UpdateWorker(r.clock(), w.view))
}

func (r *run) apply(d fleet.Decisions) error {
	for _, refusal := range d.Refused {
		if refusal.Task.Index == 0 { // only once for all tasks of a gang
			r.reject(r.tasks[refusal.Task].job)
		}
	}
	for _, a := range d.Assigned {
		if err := r.start(r.tasks[a.Spec.ID], a.Worker); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) cancel(j *job) {
	if j.done {
		return
	}
	j.done = true
	for _, t := range j.tasks {
		if t.worker == nil && !t.ended {
			r.owners[t.owner].fleet.Cancel(t.spec.ID)
			r.stats.recordCancellation(t)
		}
	}
}

// expire drops a request that has not started by its deadline. Its wait is recorded up to the deadline.
func (r *run) expire(j *job) {
	t := j.tasks[0]
	if j.done || t.starts > 0 {
		return
	}
	j.done = true
	r.owners[t.owner].fleet.Cancel(t.spec.ID)
	r.stats.recordExpiry(r, t)
}
