// Package fleet schedules tasks on the workers that a process owns. It keeps a view of the workers' capacity and the
// queue of tasks that wait for a worker. Decisions are made on this view; the worker's own aggregate checks them when
// they are carried out.
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

// Refusal says that a queued task will not run.
type Refusal struct {
	Task ident.TaskID
	Err  error // Overloaded or DeadlineExceeded
}

// Decisions are the scheduling decisions that the caller must carry out.
type Decisions struct {
	Assigned []Assignment
	Refused  []Refusal
}

// Digest summarizes a fleet for other processes.
type Digest struct {
	Free        resource.Vector
	Capacity    resource.Vector
	LargestFree resource.Vector // per resource, the largest free amount on one worker
	Queued      [work.ClassCount]int
	OldestWait  [work.ClassCount]time.Duration // wait of the oldest queued task of each class
	Shapes      []Shape                        // of the owned workers; set only in heartbeats
}

// Fleet is the aggregate of the workers owned by a process, the tasks on them and the tasks that wait for them.
type Fleet struct {
	mu              sync.Mutex
	policy          Policy
	workers         map[ident.WorkerID]*workerRecord
	workerOrder     []*workerRecord // in the order in which they were added, so that equal inputs give equal decisions
	index           workerIndex
	tasks           map[ident.TaskID]*assignedTask
	spreadCounts    spreadCounts
	teams           map[ident.TeamID]*team
	runTimes        runTimeEstimator
	queue           taskQueue
	demand          demandEstimator
	gangs           []*gang                     // queued gangs, oldest first
	gangStarts      map[*workerRecord]time.Time // planned start of the first gang, by earmarked worker
	budget          preemptionBudget
	requestCapacity int64                // number of requests that fit into the free capacity of all workers
	activeCounts    [work.ClassCount]int // assigned and running tasks by class
	capacity        resource.Vector
	free            resource.Vector

	queuedGangTasks   int             // tasks of queued gangs
	assignments       uint64          // number made so far
	preempted         []*assignedTask // running tasks with a preemption action in progress
	preemptionChecked time.Time       // when preemption was last evaluated
	stragglersChecked time.Time       // when stragglers were last counted
}

// New returns a fleet without workers.
func New(policy Policy) *Fleet {
	f := &Fleet{
		policy: policy, workers: map[ident.WorkerID]*workerRecord{}, tasks: map[ident.TaskID]*assignedTask{},
		spreadCounts: spreadCounts{}, gangStarts: map[*workerRecord]time.Time{}, teams: map[ident.TeamID]*team{},
		runTimes: runTimeEstimator{kinds: map[kindKey]*kindRunTimes{}}, queue: newArrivalQueue(),
	}
	if policy.FairSharing {
		f.queue = newFairQueue()
	}
	f.index = &linearIndex{bestFit: policy.Placement == PlaceBestFit}
	if policy.Placement == PlaceScored {
		f.index = &treap{scoringFor: f.scoringFor}
	}
	return f
}

// Schedule assigns the task to a worker, or queues it and returns false. It fails with Overloaded when the queue is
// full or the task would wait too long, with Conflict when the task is already queued or running, and with
// DeadlineExceeded when its deadline has passed.
func (f *Fleet) Schedule(now time.Time, spec work.Spec) (Assignment, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkNew(now, spec); err != nil {
		return Assignment{}, false, err
	}
	f.recordDemand(now, spec)
	if f.queue.mayOvertake(spec) {
		if r := f.chooseWorker(now, spec); r != nil {
			return f.assume(now, r, spec), true, nil
		}
	}
	if err := f.checkOverload(now, spec); err != nil {
		return Assignment{}, false, err
	}
	f.queue.push(&queuedTask{spec: spec, team: f.team(spec), since: now, latestStart: f.latestStart(now, spec)})
	return Assignment{}, false, nil
}

// team returns the record of the task's team, updated with the weight and the quota that the task carries.
func (f *Fleet) team(spec work.Spec) *team {
	t, ok := f.teams[spec.ID.Work.Team]
	if !ok {
		t = &team{groups: map[*group]bool{}}
		f.teams[spec.ID.Work.Team] = t
	}
	t.weight, t.quota = spec.Weight, spec.Quota
	return t
}

func (f *Fleet) checkNew(now time.Time, spec work.Spec) error {
	if !spec.Deadline.IsZero() && !now.Before(spec.Deadline) {
		return fault.New(fault.DeadlineExceeded, "the deadline of %s has passed", spec.ID)
	}
	if _, ok := f.tasks[spec.ID]; ok || f.queue.has(spec.ID) || len(f.gangs) > 0 && f.gangIndex(spec.ID) >= 0 {
		return fault.New(fault.Conflict, "%s is already queued or running", spec.ID)
	}
	if n := f.queue.len(); n >= MaxQueued {
		return fault.New(fault.Overloaded, "queue full: %d tasks queued; the limit is %d", n, MaxQueued)
	}
	return nil
}

func (f *Fleet) chooseWorker(now time.Time, spec work.Spec) *workerRecord {
	return f.index.choose(spec, func(r *workerRecord) bool { return f.admits(now, r, spec) })
}

// admits reports whether the task may be assigned to the worker.
func (f *Fleet) admits(now time.Time, r *workerRecord, spec work.Spec) bool {
	return spec.Size.Fits(r.Free) && f.keepsHeadroom(now, r, spec) && f.endsBeforeGangStart(now, r, spec)
}

// assume assigns the task and deducts its size from the view before the worker's aggregate has confirmed it.
func (f *Fleet) assume(now time.Time, r *workerRecord, spec work.Spec) Assignment {
	f.assignments++
	h := &assignedTask{spec: spec, worker: r, team: f.team(spec), since: now, sequence: f.assignments, assumed: true}
	h.team.addUsage(spec.Size, f.capacity)
	f.queue.reorder(h.team)
	f.spreadCounts.add(h, 1)
	f.activeCounts[spec.Class]++
	f.tasks[spec.ID] = h
	r.tasks[spec.ID] = h
	r.assumed = r.assumed.Add(spec.Size)
	f.setFree(r, r.Free.Sub(spec.Size))
	return Assignment{Spec: spec, Worker: r.Worker}
}

func (f *Fleet) setFree(r *workerRecord, free resource.Vector) {
	f.free = f.free.Sub(r.Free).Add(free)
	r.Free = free
	fitting := f.demand.countFitting(free)
	f.requestCapacity += fitting - r.requestCapacity
	r.requestCapacity = fitting
	f.index.update(r)
}

// Confirm records that the worker's aggregate has reserved the size of an assigned task: its next reports include the
// task.
func (f *Fleet) Confirm(task ident.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ok := f.tasks[task]; ok && h.assumed {
		h.assumed = false
		h.worker.assumed = h.worker.assumed.Sub(h.spec.Size)
	}
}

// Forget drops an assigned task that was not reserved on the worker or not started there. The capacity of an assumed
// task goes to queued tasks at once; that of a confirmed one becomes free with the worker's next report.
func (f *Fleet) Forget(now time.Time, task ident.TaskID) Decisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.tasks[task]
	if !ok {
		return Decisions{}
	}
	f.dropTask(h)
	if !h.assumed {
		return Decisions{}
	}
	h.worker.assumed = h.worker.assumed.Sub(h.spec.Size)
	f.setFree(h.worker, h.worker.Free.Add(h.spec.Size))
	return f.assignQueued(now, h.worker)
}

func (f *Fleet) dropTask(h *assignedTask) {
	h.team.addUsage(resource.Vector{}.Sub(h.spec.Size), f.capacity)
	f.queue.reorder(h.team)
	f.spreadCounts.add(h, -1)
	f.activeCounts[h.spec.Class]--
	delete(f.tasks, h.spec.ID)
	delete(h.worker.tasks, h.spec.ID)
}

// Finish records the end of a task. Its capacity becomes free with the worker's next report.
func (f *Fleet) Finish(outcome work.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.tasks[outcome.Task]
	if !ok {
		return
	}
	f.dropTask(h)
	if f.policy.LearnRunTimes && outcome.OK {
		f.runTimes.observe(h.spec, outcome.RunTime)
	}
}

// UpdateWorker replaces the view of a worker with its report, less the assumed tasks, and assigns queued tasks that now
// fit. A report that was taken between a reservation and its Confirm counts the task twice until the next report: until
// then the view underestimates the free capacity.
func (f *Fleet) UpdateWorker(now time.Time, report WorkerView) Decisions {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.workers[report.Worker]
	if !ok {
		r = &workerRecord{WorkerView: WorkerView{Worker: report.Worker}, tasks: map[ident.TaskID]*assignedTask{}}
		f.workers[report.Worker] = r
		f.workerOrder = append(f.workerOrder, r)
		f.index.add(r)
	}
	f.capacity = f.capacity.Sub(r.Capacity).Add(report.Capacity)
	r.Zone, r.Rack, r.Capacity = report.Zone, report.Rack, report.Capacity
	f.setFree(r, report.Free.Sub(r.assumed))
	return f.assignQueued(now, r)
}

func (f *Fleet) assignQueued(now time.Time, r *workerRecord) Decisions {
	d := f.assignGangs(now)
	d.Refused = append(d.Refused, f.expire(now)...)
	for r.Free.Slots > 0 {
		next := f.queue.pop(func(w *queuedTask) admission { return f.evaluate(now, r, w) })
		if next == nil {
			break
		}
		d.Assigned = append(d.Assigned, f.assume(now, r, next.spec))
	}
	return d
}

func (f *Fleet) evaluate(now time.Time, r *workerRecord, w *queuedTask) admission {
	switch {
	case f.admits(now, r, w.spec):
		return fits
	case f.endsBeforeGangStart(now, r, w.spec):
		return noCapacity
	default:
		return kindBlocked
	}
}

// RemoveWorker drops a worker that this process no longer owns, with the tasks assigned to it.
func (f *Fleet) RemoveWorker(worker ident.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.workers[worker]
	if !ok {
		return
	}
	for _, h := range r.tasks {
		f.dropTask(h)
	}
	f.setFree(r, resource.Vector{})
	f.capacity = f.capacity.Sub(r.Capacity)
	f.index.remove(r)
	delete(f.gangStarts, r)
	delete(f.workers, worker)
	for i, other := range f.workerOrder {
		if other == r {
			f.workerOrder = append(f.workerOrder[:i], f.workerOrder[i+1:]...)
			return
		}
	}
}

// Cancel removes a queued task, or the queued gang that it belongs to. It returns false if the task is not queued.
func (f *Fleet) Cancel(task ident.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := f.gangIndex(task); i >= 0 {
		f.dropGang(i)
		return true
	}
	return f.queue.remove(task)
}

// Digest returns the summary of the fleet for other processes.
func (f *Fleet) Digest(now time.Time) Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Digest{Free: f.free, Capacity: f.capacity, LargestFree: f.index.largestFree()}
	d.Queued, d.OldestWait = f.queue.load(now)
	d.Queued[work.Gang] += f.queuedGangTasks
	if len(f.gangs) > 0 {
		d.OldestWait[work.Gang] = max(d.OldestWait[work.Gang], now.Sub(f.gangs[0].since))
	}
	return d
}
