// Package fleet decides where work of this process goes: it keeps a view of the workers that the process owns and the
// queue of waiting tasks. A decision is made on the view and checked by the worker's own aggregate where it applies.
package fleet

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// Assignment pairs a task with the worker chosen for it.
type Assignment struct {
	Spec   work.Spec
	Worker ident.WorkerID
}

// Refusal ends a waiting task that is not going to run.
type Refusal struct {
	Task ident.TaskID
	Err  error // Overloaded or DeadlineExceeded
}

// Decisions are for the caller to carry out.
type Decisions struct {
	Assigned []Assignment
	Refused  []Refusal
}

// Digest is what other processes learn of a fleet.
type Digest struct {
	Free        resource.Vector
	Capacity    resource.Vector
	LargestFree resource.Vector // largest free amount of each resource on one worker
	Queued      [work.ClassCount]int
	OldestWait  [work.ClassCount]time.Duration // wait of the oldest queued task
	Shapes      []Shape                        // of the owned workers; only in heartbeats
}

// Fleet is the aggregate of the workers owned by a process and the tasks that wait for them.
type Fleet struct {
	mu       sync.Mutex
	policy   Policy
	rows     map[ident.WorkerID]*row
	order    []*row // as they came, so that equal input gives equal decisions
	index    index
	tasks    map[ident.TaskID]*held
	places   places
	teams    map[ident.TeamID]*team
	times    runTimes
	queue    queue
	demand   demand
	gangs    []*gang            // that wait
	promised map[*row]time.Time // start of the first gang on the workers that it needs
	budget   budget
	room     int64                // how many requests fit on all workers
	held     [work.ClassCount]int // tasks assigned or running
	capacity resource.Vector
	free     resource.Vector

	queuedGang  int       // tasks of waiting gangs
	assignments uint64    // made so far
	asked       []*held   // running tasks that were asked to give way
	reclaimed   time.Time // when Reclaim last looked
	bounded     time.Time // when it last counted stragglers
}

// New returns a fleet without workers.
func New(policy Policy) *Fleet {
	f := &Fleet{
		policy: policy, rows: map[ident.WorkerID]*row{}, tasks: map[ident.TaskID]*held{}, places: places{},
		promised: map[*row]time.Time{},
		teams:    map[ident.TeamID]*team{}, times: runTimes{kinds: map[kindKey]*runTimeSample{}}, queue: newArrivalQueue(),
	}
	if policy.FairSharing {
		f.queue = newFairQueue()
	}
	f.index = &scan{tight: policy.Placement == PlaceBestFit}
	if policy.Placement == PlaceScored {
		f.index = &tree{score: f.scoring}
	}
	return f
}

// Schedule assigns the task to a worker, or queues it and returns false. It fails with Overloaded when the queue is full
// or the task would wait too long, Conflict when the task waits or runs already, and DeadlineExceeded when its
// deadline has passed.
func (f *Fleet) Schedule(now time.Time, spec work.Spec) (Assignment, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.check(now, spec); err != nil {
		return Assignment{}, false, err
	}
	f.noteDemand(now, spec)
	if f.queue.mayOvertake(spec) {
		if r := f.choose(now, spec); r != nil {
			return f.assume(now, r, spec), true, nil
		}
	}
	if err := f.overloaded(now, spec); err != nil {
		return Assignment{}, false, err
	}
	f.queue.push(&waiting{spec: spec, team: f.team(spec), since: now, latest: f.latest(now, spec)})
	return Assignment{}, false, nil
}

// team returns the team of the task, with the weight and the quota that the task brings.
func (f *Fleet) team(spec work.Spec) *team {
	t, ok := f.teams[spec.ID.Work.Team]
	if !ok {
		t = &team{groups: map[*group]bool{}}
		f.teams[spec.ID.Work.Team] = t
	}
	t.weight, t.quota = spec.Weight, spec.Quota
	return t
}

func (f *Fleet) check(now time.Time, spec work.Spec) error {
	if !spec.Deadline.IsZero() && !now.Before(spec.Deadline) {
		return fault.New(fault.DeadlineExceeded, "the deadline of %s has passed", spec.ID)
	}
	if _, ok := f.tasks[spec.ID]; ok || f.queue.has(spec.ID) || len(f.gangs) > 0 && f.gangOf(spec.ID) >= 0 {
		return fault.New(fault.Conflict, "%s waits or runs already", spec.ID)
	}
	if n := f.queue.len(); n >= MaxQueued {
		return fault.New(fault.Overloaded, "%d tasks wait; the limit is %d", n, MaxQueued)
	}
	return nil
}

func (f *Fleet) choose(now time.Time, spec work.Spec) *row {
	return f.index.choose(spec, func(r *row) bool { return f.admits(now, r, spec) })
}

// admits reports whether the task may go on the row.
func (f *Fleet) admits(now time.Time, r *row, spec work.Spec) bool {
	return spec.Size.Fits(r.Free) && f.leavesHeadroom(now, r, spec) && f.keepsPromise(now, r, spec)
}

// assume takes the size from the view before the worker's aggregate confirms it.
func (f *Fleet) assume(now time.Time, r *row, spec work.Spec) Assignment {
	f.assignments++
	h := &held{spec: spec, row: r, team: f.team(spec), since: now, number: f.assignments, assumed: true}
	h.team.account(spec.Size, f.capacity)
	f.queue.reorder(h.team)
	f.places.add(h, 1)
	f.held[spec.Class]++
	f.tasks[spec.ID] = h
	r.tasks[spec.ID] = h
	r.assumed = r.assumed.Add(spec.Size)
	f.setFree(r, r.Free.Sub(spec.Size))
	return Assignment{Spec: spec, Worker: r.Worker}
}

func (f *Fleet) setFree(r *row, free resource.Vector) {
	f.free = f.free.Sub(r.Free).Add(free)
	r.Free = free
	units := f.demand.units(free)
	f.room += units - r.units
	r.units = units
	f.index.changed(r)
}

// Confirm notes that the worker has reserved the size of an assigned task: from now on its reports contain it.
func (f *Fleet) Confirm(task ident.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ok := f.tasks[task]; ok && h.assumed {
		h.assumed = false
		h.row.assumed = h.row.assumed.Sub(h.spec.Size)
	}
}

// Forget gives up a task that the worker did not reserve or did not start. The room of an assumed task goes to waiting
// tasks; that of a confirmed one returns with the worker's next report.
func (f *Fleet) Forget(now time.Time, task ident.TaskID) Decisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.tasks[task]
	if !ok {
		return Decisions{}
	}
	f.drop(h)
	if !h.assumed {
		return Decisions{}
	}
	h.row.assumed = h.row.assumed.Sub(h.spec.Size)
	f.setFree(h.row, h.row.Free.Add(h.spec.Size))
	return f.fill(now, h.row)
}

func (f *Fleet) drop(h *held) {
	h.team.account(resource.Vector{}.Sub(h.spec.Size), f.capacity)
	f.queue.reorder(h.team)
	f.places.add(h, -1)
	f.held[h.spec.Class]--
	delete(f.tasks, h.spec.ID)
	delete(h.row.tasks, h.spec.ID)
}

// Finish notes the end of a task. Its room returns with the worker's next report.
func (f *Fleet) Finish(outcome work.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.tasks[outcome.Task]
	if !ok {
		return
	}
	f.drop(h)
	if f.policy.LearnRunTimes && outcome.OK {
		f.times.observe(h.spec, outcome.RunTime)
	}
}

// UpdateWorker replaces the view of a worker by its report, less what is assigned and not yet reserved there. It decides
// which waiting tasks now have room. A report that was taken just after a reservation and before its Confirm counts
// the task twice until the next report: the view then errs towards less room.
func (f *Fleet) UpdateWorker(now time.Time, report WorkerView) Decisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[report.Worker]
	if !ok {
		r = &row{WorkerView: WorkerView{Worker: report.Worker}, tasks: map[ident.TaskID]*held{}}
		f.rows[report.Worker] = r
		f.order = append(f.order, r)
		f.index.add(r)
	}
	f.capacity = f.capacity.Sub(r.Capacity).Add(report.Capacity)
	r.Zone, r.Rack, r.Capacity = report.Zone, report.Rack, report.Capacity
	f.setFree(r, report.Free.Sub(r.assumed))
	return f.fill(now, r)
}

func (f *Fleet) fill(now time.Time, r *row) Decisions {
	d := f.fillGangs(now)
	d.Refused = append(d.Refused, f.expire(now)...)
	for r.Free.Slots > 0 {
		next := f.queue.pop(func(w *waiting) verdict { return f.judge(now, r, w) })
		if next == nil {
			break
		}
		d.Assigned = append(d.Assigned, f.assume(now, r, next.spec))
	}
	return d
}

func (f *Fleet) judge(now time.Time, r *row, w *waiting) verdict {
	switch {
	case f.admits(now, r, w.spec):
		return fits
	case f.keepsPromise(now, r, w.spec):
		return noRoom
	default:
		return notYet
	}
}

// RemoveWorker forgets a worker that this process no longer owns, and what is held on it.
func (f *Fleet) RemoveWorker(worker ident.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[worker]
	if !ok {
		return
	}
	for _, h := range r.tasks {
		f.drop(h)
	}
	f.setFree(r, resource.Vector{})
	f.capacity = f.capacity.Sub(r.Capacity)
	f.index.remove(r)
	delete(f.promised, r)
	delete(f.rows, worker)
	for i, other := range f.order {
		if other == r {
			f.order = append(f.order[:i], f.order[i+1:]...)
			return
		}
	}
}

// Cancel removes a waiting task, or the waiting gang that it belongs to. It returns false if the task does not wait.
func (f *Fleet) Cancel(task ident.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := f.gangOf(task); i >= 0 {
		f.dropGang(i)
		return true
	}
	return f.queue.remove(task)
}

// Digest returns the summary for other processes.
func (f *Fleet) Digest(now time.Time) Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Digest{Free: f.free, Capacity: f.capacity, LargestFree: f.index.largest()}
	d.Queued, d.OldestWait = f.queue.load(now)
	d.Queued[work.Gang] += f.queuedGang
	if len(f.gangs) > 0 {
		d.OldestWait[work.Gang] = max(d.OldestWait[work.Gang], now.Sub(f.gangs[0].since))
	}
	return d
}
