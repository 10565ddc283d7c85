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

// Options of a replay.
type Options struct {
	Shape          Shape
	Policy         fleet.Policy
	Seed           uint64        // of the routing's choices
	DigestInterval time.Duration // age that digests reach before they are replaced
	Duration       time.Duration // virtual time
	WarmUp         time.Duration // arrivals before are not measured
}

const (
	hop         = time.Millisecond // from one process to another
	sampleEvery = time.Second
	// renewEvery is how often an owner has a report of each worker when nothing ends there.
	renewEvery = 2 * time.Second
	// retryAfter is the mean pause before a home offers refused work again.
	retryAfter = time.Second
)

// job is an arrival at its home.
type job struct {
	*Arrival
	home    int
	tasks   []*task
	refused map[ident.ProcessID]bool // owners that refused the current round
	over    bool
}

// task is one task of a job.
type task struct {
	job    *job
	spec   work.Spec
	owner  int
	worker *worker // nil unless it runs
	starts int
	began  time.Duration // of the last start
	first  time.Duration // of the first start
	done   time.Duration // run time of former attempts that was saved
	ended  bool
}

type owner struct {
	id     ident.ProcessID
	zone   ident.Zone
	fleet  *fleet.Fleet
	digest fleet.Digest // as the others know it
}

type worker struct {
	row   fleet.WorkerView
	owner int
}

type run struct {
	Options
	epoch   time.Time
	now     time.Duration
	agenda  agenda
	owners  []*owner
	workers map[ident.WorkerID]*worker
	order   []*worker
	tasks   map[ident.TaskID]*task
	random  *rand.Rand
	stats   *stats
}

// Run replays the arrivals and returns what was measured. It fails with Internal when a decision broke a rule of the
// fleet: a worker was given more than it holds, or a task was assigned that does not wait.
func Run(options Options, arrivals []Arrival) (Result, error) {
	r := &run{
		Options: options, epoch: time.Unix(1_000_000_000, 0), workers: map[ident.WorkerID]*worker{},
		tasks: map[ident.TaskID]*task{}, random: rand.New(rand.NewPCG(options.Seed, 2)),
		stats: newStats(options, arrivals),
	}
	r.build()
	for i := range arrivals {
		r.add(&arrivals[i])
	}
	for r.agenda.Len() > 0 {
		e := r.agenda.next()
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

func (r *run) build() {
	for o := range r.Shape.Owners {
		r.owners = append(r.owners, &owner{
			id: ident.ProcessID(fmt.Sprintf("process-%02d", o)), zone: r.Shape.zone(o), fleet: fleet.New(r.Policy),
		})
		offset := r.DigestInterval * time.Duration(o) / time.Duration(r.Shape.Owners)
		r.agenda.add(event{at: offset, kind: publish, owner: o})
		r.agenda.add(event{at: renewEvery / time.Duration(o+2), kind: renew, owner: o})
	}
	for i := range r.Shape.Workers {
		w := &worker{row: r.Shape.row(i), owner: r.Shape.owner(i)}
		r.workers[w.row.Worker] = w
		r.order = append(r.order, w)
		r.owners[w.owner].fleet.UpdateWorker(r.epoch, w.row)
	}
	for _, o := range r.owners {
		o.digest = o.fleet.Digest(r.epoch)
	}
	r.agenda.add(event{at: sampleEvery, kind: sample})
}

func (r *run) add(a *Arrival) {
	j := &job{Arrival: a, refused: map[ident.ProcessID]bool{}}
	for i := range max(a.GangSize, 1) {
		t := &task{job: j, spec: a.spec(i, r.epoch)}
		t.spec.Quota = a.Quota.Prorate(1, int64(r.Shape.Owners))
		j.tasks = append(j.tasks, t)
		r.tasks[t.spec.ID] = t
	}
	j.home = int(j.tasks[0].spec.ID.Work.Partition()) % r.Shape.Owners
	r.agenda.add(event{at: a.At, kind: arrive, job: j})
	if a.Class == work.Request && a.Deadline > 0 {
		r.agenda.add(event{at: a.At + a.Deadline, kind: expire, job: j})
	}
	if a.CancelAt > 0 {
		r.agenda.add(event{at: a.CancelAt, kind: cancel, job: j})
	}
}

func (r *run) handle(e event) error {
	switch e.kind {
	case arrive:
		return r.offer(e.job)
	case finish:
		return r.finish(e)
	case renew:
		return r.renew(e.owner)
	case move:
		return r.move(e)
	case publish:
		o := r.owners[e.owner]
		o.digest = o.fleet.Digest(r.clock())
		r.agenda.add(event{at: r.now + r.DigestInterval, kind: publish, owner: e.owner})
	case cancel:
		r.cancel(e.job)
	case expire:
		r.expire(e.job)
	case sample:
		r.stats.sample(r)
		r.agenda.add(event{at: r.now + sampleEvery, kind: sample})
	}
	return nil
}

// offer sends the job to the owner that its home chooses.
func (r *run) offer(j *job) error {
	if j.over || j.tasks[0].worker != nil {
		return nil
	}
	o, ok := r.choose(j)
	if !ok {
		r.refuse(j)
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
		return r.refused(j, o, err)
	case placed:
		return r.start(t, assignment.Worker)
	}
	r.reclaim(o)
	return nil
}

func (r *run) offerGang(j *job, o int) error {
	specs := make([]work.Spec, len(j.tasks))
	for i, t := range j.tasks {
		specs[i], t.owner = t.spec, o
	}
	assignments, _, err := r.owners[o].fleet.ScheduleGang(r.clock(), specs)
	if err != nil {
		return r.refused(j, o, err)
	}
	return r.apply(fleet.Decisions{Assigned: assignments})
}

// choose returns the owner to try, as a home does.
func (r *run) choose(j *job) (int, bool) {
	home := r.owners[j.home]
	var open []routing.Candidate
	for i, o := range r.owners {
		if j.refused[o.id] {
			continue
		}
		c := routing.Candidate{Process: o.id, Zone: o.zone, Digest: o.digest, Self: i == j.home}
		if c.Self {
			c.Digest = o.fleet.Digest(r.clock())
		}
		open = append(open, c)
	}
	id, ok := routing.ChooseOwner(r.random, open, j.tasks[0].spec, home.zone)
	for i, o := range r.owners {
		if o.id == id {
			return i, ok
		}
	}
	return 0, false
}

// renew brings a report of every worker of an owner.
func (r *run) renew(o int) error {
	for _, w := range r.order {
		if w.owner != o {
			continue
		}
		if err := r.apply(r.owners[o].fleet.UpdateWorker(r.clock(), w.row)); err != nil {
			return err
		}
	}
	r.reclaim(o)
	r.agenda.add(event{at: r.now + renewEvery, kind: renew, owner: o})
	return nil
}

// checkpointTime is how long a worker takes to save the progress of a task and to end it.
const checkpointTime = 100 * time.Millisecond

// reclaim lets tasks give way. The replay has only workers that checkpoint in time.
func (r *run) reclaim(o int) {
	for _, p := range r.owners[o].fleet.SelectPreemptions(r.clock()) {
		t := r.tasks[p.Task]
		r.agenda.add(event{at: r.now + checkpointTime, kind: move, task: t, start: t.starts})
	}
}

// move ends an attempt that gave way; its home offers the rest of the work again.
func (r *run) move(e event) error {
	t := e.task
	if t.worker == nil || t.starts != e.start {
		return nil
	}
	t.done += r.now - t.began
	t.spec.Attempt++
	r.stats.moved++
	if err := r.vacate(t); err != nil {
		return err
	}
	return r.offer(t.job)
}

// refused lets the home try another owner.
func (r *run) refused(j *job, o int, err error) error {
	if fault.Is(err, fault.Conflict) {
		return fault.WrapAs(fault.Internal, err, "offer")
	}
	if fault.Is(err, fault.DeadlineExceeded) {
		r.refuse(j)
		return nil
	}
	j.refused[r.owners[o].id] = true
	r.agenda.add(event{at: r.now + 2*hop, kind: arrive, job: j})
	return nil
}

// refuse answers a request with "not run"; other work is offered again later.
func (r *run) refuse(j *job) {
	clear(j.refused)
	if j.Class == work.Request {
		j.over = true
		r.stats.refused(j)
		return
	}
	pause := time.Duration((0.5 + r.random.Float64()) * float64(retryAfter))
	r.agenda.add(event{at: r.now + pause, kind: arrive, job: j})
}

func (r *run) start(t *task, id ident.WorkerID) error {
	w := r.workers[id]
	if t.worker != nil || t.ended {
		return fault.New(fault.Internal, "%s was assigned twice", t.spec.ID)
	}
	w.row.Free = w.row.Free.Sub(t.spec.Size)
	if !t.spec.Size.Fits(w.row.Free.Add(t.spec.Size)) {
		return fault.New(fault.Internal, "%s does not fit on %s", t.spec.ID, id)
	}
	t.worker, t.began = w, r.now
	if t.starts == 0 {
		t.first = r.now
		r.stats.started(r, t)
	}
	t.starts++
	r.owners[t.owner].fleet.Confirm(t.spec.ID)
	r.stats.holds(t, 1)
	r.agenda.add(event{at: r.now + t.job.RunTime - t.done, kind: finish, task: t, start: t.starts})
	return nil
}

func (r *run) finish(e event) error {
	t := e.task
	if t.worker == nil || t.starts != e.start {
		return nil
	}
	t.ended = true
	r.stats.finished(r, t)
	return r.vacate(t)
}

// vacate ends the attempt on the worker and gives its room to waiting tasks.
func (r *run) vacate(t *task) error {
	w := t.worker
	t.worker = nil
	w.row.Free = w.row.Free.Add(t.spec.Size)
	r.stats.holds(t, -1)
	f := r.owners[w.owner].fleet
	f.Finish(work.Outcome{Task: t.spec.ID, Attempt: t.spec.Attempt, OK: t.ended, RunTime: r.now - t.began})
	return r.apply(f.UpdateWorker(r.clock(), w.row))
}

func (r *run) apply(d fleet.Decisions) error {
	for _, refusal := range d.Refused {
		if refusal.Task.Index == 0 { // once for all tasks of a gang
			r.refuse(r.tasks[refusal.Task].job)
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
	if j.over {
		return
	}
	j.over = true
	for _, t := range j.tasks {
		if t.worker == nil && !t.ended {
			r.owners[t.owner].fleet.Cancel(t.spec.ID)
			r.stats.canceled(t)
		}
	}
}

// expire gives up a request that has not started by its deadline. Its wait counts up to here.
func (r *run) expire(j *job) {
	t := j.tasks[0]
	if j.over || t.starts > 0 {
		return
	}
	j.over = true
	r.owners[t.owner].fleet.Cancel(t.spec.ID)
	r.stats.expired(r, t)
}
