package pool

import (
	"iter"
	"time"

	"skylarkstall/internal/domain/resource"
)

// Use is what runs of one priority use of a service's workers.
type Use struct {
	All     resource.Vector
	Lasting resource.Vector // of long-running tasks
}

// Usage returns the capacity of the workers of a service that may get starts, and what uses it, by priority.
func Usage(service string, workers iter.Seq[*Worker], now time.Time) (resource.Vector, map[int]Use) {
	r := Request{Service: service, Now: now}
	var capacity resource.Vector
	uses := map[int]Use{}
	for w := range workers {
		if !sameService(w, &r) || !responsive(w, &r) || !notDraining(w, &r) {
			continue
		}
		capacity = capacity.Add(w.info.Capacity)
		for _, run := range w.runs {
			use, size := uses[run.Priority], ReservedSize(&run.Step)
			use.All = use.All.Add(size)
			if run.Step.LongRunning {
				use.Lasting = use.Lasting.Add(size)
			}
			uses[run.Priority] = use
		}
	}
	return capacity, uses
}

// Fits reports whether the given number of tasks of a size fits on the workers of a service now, as far as their capacity goes.
func Fits(service string, workers iter.Seq[*Worker], size resource.Vector, count int, now time.Time) bool {
	r := Request{Service: service, Now: now}
	for w := range workers {
		if !sameService(w, &r) || !responsive(w, &r) || !notDraining(w, &r) {
			continue
		}
		for free := w.Free().Sub(size); count > 0 && (resource.Vector{}).Fits(free); free = free.Sub(size) {
			count--
		}
		if count == 0 {
			return true
		}
	}
	return false
}
