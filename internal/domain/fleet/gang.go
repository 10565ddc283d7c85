package fleet

import (
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// gang is a queued set of tasks that start together.
type gang struct {
	specs        []work.Spec
	since        time.Time
	plannedStart time.Time // zero while no start is planned
}

// ScheduleGang assigns all tasks of a gang, or queues all of them and returns false. The first gang of the queue has a
// planned start: on the workers earmarked for it, other tasks start only if they are expected to end before then
// (backfilling), except requests. Without backfilling ScheduleGang fails with NoCapacity instead of queueing. Otherwise
// it fails as Schedule does.
func (f *Fleet) ScheduleGang(now time.Time, specs []work.Spec) ([]Assignment, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, spec := range specs {
		if err := f.checkNew(now, spec); err != nil {
			return nil, false, err
		}
	}
	if !f.policy.Backfill || len(f.gangs) == 0 {
		if assignments := f.placeGang(now, specs); assignments != nil {
			return assignments, true, nil
		}
	}
	if !f.policy.Backfill || !f.canFitGang(now, specs) {
		return nil, false, fault.New(fault.NoCapacity, "not enough free capacity for the %d tasks of the gang", len(specs))
	}
	f.gangs = append(f.gangs, &gang{specs: specs, since: now})
	f.queuedGangTasks += len(specs)
	return nil, false, nil
}

// canFitGang reports whether the gang fits into the total capacity beside the headroom for requests. A gang that does
// not would block the queue.
func (f *Fleet) canFitGang(now time.Time, specs []work.Spec) bool {
	size, fitting := specs[0].Size, int64(0)
	for _, r := range f.workerOrder {
		fitting += fitCount(size, r.Capacity)
	}
	return fitting >= int64(len(specs))+f.headroom(now)
}

// placeGang assigns all tasks or, returning nil, none.
func (f *Fleet) placeGang(now time.Time, specs []work.Spec) []Assignment {
	if need := specs[0].Size.Scale(int64(len(specs))); !need.Fits(f.free) {
		return nil
	}
	assignments := make([]Assignment, 0, len(specs))
	for _, spec := range specs {
		r := f.chooseWorker(now, spec)
		if r == nil {
			f.rollBack(assignments)
			return nil
		}
		assignments = append(assignments, f.assume(now, r, spec))
	}
	return assignments
}

func (f *Fleet) rollBack(assignments []Assignment) {
	for _, a := range assignments {
		h := f.tasks[a.Spec.ID]
		f.dropTask(h)
		h.worker.assumed = h.worker.assumed.Sub(h.spec.Size)
		f.setFree(h.worker, h.worker.Free.Add(h.spec.Size))
	}
}

// assignGangs assigns the queued gangs that fit, in order, refuses those whose deadline has passed, and plans the start
// of the first one that does not fit.
func (f *Fleet) assignGangs(now time.Time) Decisions {
	var d Decisions
	for len(f.gangs) > 0 {
		first := f.gangs[0]
		if deadline := first.specs[0].Deadline; !deadline.IsZero() && now.After(deadline) {
			for _, spec := range first.specs {
				err := fault.New(fault.DeadlineExceeded, "deadline passed while the gang of %s was queued", spec.ID)
				d.Refused = append(d.Refused, Refusal{spec.ID, err})
			}
			f.dropGang(0)
			continue
		}
		assignments := f.placeGang(now, first.specs)
		if assignments == nil {
			f.planGangStart(now, first)
			break
		}
		d.Assigned = append(d.Assigned, assignments...)
		f.dropGang(0)
	}
	return d
}

func (f *Fleet) dropGang(i int) {
	f.queuedGangTasks -= len(f.gangs[i].specs)
	f.gangs = append(f.gangs[:i], f.gangs[i+1:]...)
	if i == 0 {
		clear(f.gangStarts)
	}
}

// gangIndex returns the queue index of the gang that the task belongs to, or -1.
func (f *Fleet) gangIndex(task ident.TaskID) int {
	for i, g := range f.gangs {
		for _, spec := range g.specs {
			if spec.ID == task {
				return i
			}
		}
	}
	return -1
}

// planGangStart estimates when the gang can start if running tasks take their expected run time, and earmarks the
// workers that it will need. A planned start is kept until it has passed.
func (f *Fleet) planGangStart(now time.Time, g *gang) {
	if len(f.gangStarts) > 0 && now.Before(g.plannedStart) {
		return
	}
	clear(f.gangStarts)
	type taskEnd struct {
		at time.Time
		h  *assignedTask
	}
	taskEnds := make([]taskEnd, 0, len(f.tasks))
	for _, h := range f.tasks {
		expected, _ := f.runTimes.estimate(h.spec)
		at := h.since.Add(expected)
		if at.Before(now) { // overdue: the remaining time is unknown
			at = now.Add(expected)
		}
		taskEnds = append(taskEnds, taskEnd{at, h})
	}
	sort.Slice(taskEnds, func(i, j int) bool {
		return taskEnds[i].at.Before(taskEnds[j].at) ||
			taskEnds[i].at.Equal(taskEnds[j].at) && taskEnds[i].h.sequence < taskEnds[j].h.sequence
	})
	size, need := g.specs[0].Size, int64(len(g.specs))
	free, fitting := map[*workerRecord]resource.Vector{}, int64(0)
	for _, r := range f.workerOrder {
		free[r] = r.Free
		fitting += fitCount(size, r.Free)
	}
	g.plannedStart = now
	for _, e := range taskEnds {
		if fitting >= need {
			break
		}
		r := e.h.worker
		fitting -= fitCount(size, free[r])
		free[r] = free[r].Add(e.h.spec.Size)
		fitting += fitCount(size, free[r])
		g.plannedStart = e.at
	}
	f.earmarkWorkers(g, free, need)
}

// earmarkWorkers earmarks for the gang the workers on which most of its tasks will fit.
func (f *Fleet) earmarkWorkers(g *gang, free map[*workerRecord]resource.Vector, need int64) {
	size := g.specs[0].Size
	workers := append([]*workerRecord(nil), f.workerOrder...)
	sort.SliceStable(workers, func(i, j int) bool {
		return fitCount(size, free[workers[i]]) > fitCount(size, free[workers[j]])
	})
	for _, r := range workers {
		if need <= 0 {
			return
		}
		need -= fitCount(size, free[r])
		f.gangStarts[r] = g.plannedStart
	}
}

// fitCount returns how many tasks of the size fit into the free capacity.
func fitCount(size, free resource.Vector) int64 {
	d := demandEstimator{requestSize: size}
	return d.countFitting(free)
}

// endsBeforeGangStart reports whether the task may start on the worker because it is expected to end before the planned
// start of a gang there. Requests and gangs are exempt.
func (f *Fleet) endsBeforeGangStart(now time.Time, r *workerRecord, spec work.Spec) bool {
	start, ok := f.gangStarts[r]
	if !ok || spec.Class == work.Request || spec.Class == work.Gang {
		return true
	}
	_, p90 := f.runTimes.estimate(spec)
	return !now.Add(p90).After(start)
}
