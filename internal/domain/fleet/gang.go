package fleet

import (
	"sort"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// gang is a set of tasks that start together.
type gang struct {
	specs []work.Spec
	since time.Time
	start time.Time // promised; zero while there is no promise
}

// ScheduleGang assigns all tasks of a gang, or queues all of them and returns false. The first gang of the queue has a
// promised start: on the workers that it needs, only work that is expected to end before then may start. Without the
// rule of promises it fails with NoCapacity in place of queueing. It fails as Offer does otherwise.
func (f *Fleet) ScheduleGang(now time.Time, specs []work.Spec) ([]Assignment, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, spec := range specs {
		if err := f.check(now, spec); err != nil {
			return nil, false, err
		}
	}
	if !f.policy.Backfill || len(f.gangs) == 0 {
		if assignments := f.placeGang(now, specs); assignments != nil {
			return assignments, true, nil
		}
	}
	if !f.policy.Backfill || !f.holdsGang(now, specs) {
		return nil, false, fault.New(fault.NoCapacity, "there is no room for the %d tasks of the gang", len(specs))
	}
	f.gangs = append(f.gangs, &gang{specs: specs, since: now})
	f.queuedGang += len(specs)
	return nil, false, nil
}

// holdsGang reports whether the gang has room once nothing else runs. One that has not would block the queue.
func (f *Fleet) holdsGang(now time.Time, specs []work.Spec) bool {
	size, room := specs[0].Size, int64(0)
	for _, r := range f.order {
		room += count(size, r.Capacity)
	}
	return room >= int64(len(specs))+f.headroom(now)
}

// placeGang assigns all tasks or none.
func (f *Fleet) placeGang(now time.Time, specs []work.Spec) []Assignment {
	if need := specs[0].Size.Scale(int64(len(specs))); !need.Fits(f.free) {
		return nil
	}
	assignments := make([]Assignment, 0, len(specs))
	for _, spec := range specs {
		r := f.choose(now, spec)
		if r == nil {
			f.undo(assignments)
			return nil
		}
		assignments = append(assignments, f.assume(now, r, spec))
	}
	return assignments
}

func (f *Fleet) undo(assignments []Assignment) {
	for _, a := range assignments {
		h := f.tasks[a.Spec.ID]
		f.drop(h)
		h.row.assumed = h.row.assumed.Sub(h.spec.Size)
		f.setFree(h.row, h.row.Free.Add(h.spec.Size))
	}
}

// fillGangs starts the gangs that have room, in order, and promises a start to the first that has none.
func (f *Fleet) fillGangs(now time.Time) Decisions {
	var d Decisions
	for len(f.gangs) > 0 {
		first := f.gangs[0]
		if deadline := first.specs[0].Deadline; !deadline.IsZero() && now.After(deadline) {
			for _, spec := range first.specs {
				err := fault.New(fault.DeadlineExceeded, "the gang of %s cannot meet its deadline", spec.ID)
				d.Refused = append(d.Refused, Refusal{spec.ID, err})
			}
			f.dropGang(0)
			continue
		}
		assignments := f.placeGang(now, first.specs)
		if assignments == nil {
			f.promise(now, first)
			break
		}
		d.Assigned = append(d.Assigned, assignments...)
		f.dropGang(0)
	}
	return d
}

func (f *Fleet) dropGang(i int) {
	f.queuedGang -= len(f.gangs[i].specs)
	f.gangs = append(f.gangs[:i], f.gangs[i+1:]...)
	if i == 0 {
		clear(f.promised)
	}
}

// gangOf returns the place in the queue of the gang that the task belongs to, or -1.
func (f *Fleet) gangOf(task ident.TaskID) int {
	for i, g := range f.gangs {
		for _, spec := range g.specs {
			if spec.ID == task {
				return i
			}
		}
	}
	return -1
}

// promise finds when the gang can start if running tasks take as long as their kind usually does, and the workers
// that it will need. A promise stands until it has passed.
func (f *Fleet) promise(now time.Time, g *gang) {
	if len(f.promised) > 0 && now.Before(g.start) {
		return
	}
	clear(f.promised)
	type end struct {
		at time.Time
		h  *held
	}
	ends := make([]end, 0, len(f.tasks))
	for _, h := range f.tasks {
		usual, _ := f.times.estimate(h.spec)
		at := h.since.Add(usual)
		if at.Before(now) { // it runs longer than usual; nobody knows how much longer
			at = now.Add(usual)
		}
		ends = append(ends, end{at, h})
	}
	sort.Slice(ends, func(i, j int) bool {
		return ends[i].at.Before(ends[j].at) || ends[i].at.Equal(ends[j].at) && ends[i].h.number < ends[j].h.number
	})
	size, need := g.specs[0].Size, int64(len(g.specs))
	free, room := map[*row]resource.Vector{}, int64(0)
	for _, r := range f.order {
		free[r] = r.Free
		room += count(size, r.Free)
	}
	g.start = now
	for _, e := range ends {
		if room >= need {
			break
		}
		r := e.h.row
		room -= count(size, free[r])
		free[r] = free[r].Add(e.h.spec.Size)
		room += count(size, free[r])
		g.start = e.at
	}
	f.pin(g, free, need)
}

// pin keeps the workers for the gang that will have the most room for it.
func (f *Fleet) pin(g *gang, free map[*row]resource.Vector, need int64) {
	size := g.specs[0].Size
	rows := append([]*row(nil), f.order...)
	sort.SliceStable(rows, func(i, j int) bool { return count(size, free[rows[i]]) > count(size, free[rows[j]]) })
	for _, r := range rows {
		if need <= 0 {
			return
		}
		need -= count(size, free[r])
		f.promised[r] = g.start
	}
}

// count returns how many tasks of the size fit into the free capacity.
func count(size, free resource.Vector) int64 {
	d := demand{unit: size}
	return d.units(free)
}

// keepsPromise reports whether the task may start on the row: it ends before a gang is to start there.
func (f *Fleet) keepsPromise(now time.Time, r *row, spec work.Spec) bool {
	start, ok := f.promised[r]
	if !ok || spec.Class == work.Request || spec.Class == work.Gang {
		return true
	}
	_, high := f.times.estimate(spec)
	return !now.Add(high).After(start)
}
