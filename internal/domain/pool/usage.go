package pool

import (
	"iter"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// Use is what runs of one priority use of a service's workers.
type Use struct {
	All     resource.Vector
	Lasting resource.Vector // of long-running tasks
}

// ServiceUsage is what the workers of a service that may get starts have, and what uses it.
type ServiceUsage struct {
	Capacity resource.Vector
	Largest  resource.Vector // no worker has more of any resource
	Labels   map[string]bool // that a worker has
	Uses     map[int]Use     // by priority
}

// MayHold reports whether a worker may be able to run a task of the step once it is free. False is certain.
func (u *ServiceUsage) MayHold(step *workflow.Step) bool {
	return ReservedSize(step).Fits(u.Largest) && (step.RequiredLabel == "" || u.Labels[step.RequiredLabel])
}

// Usage returns the usage of a service.
func Usage(service string, workers iter.Seq[*Worker], now time.Time) ServiceUsage {
	r := Request{Service: service, Now: now}
	usage := ServiceUsage{Labels: map[string]bool{}, Uses: map[int]Use{}}
	for w := range workers {
		if !sameService(w, &r) || !responsive(w, &r) || !notDraining(w, &r) {
			continue
		}
		usage.Capacity, usage.Largest = usage.Capacity.Add(w.info.Capacity), usage.Largest.Max(w.info.Capacity)
		for _, label := range w.info.Labels {
			usage.Labels[label] = true
		}
		for _, run := range w.runs {
			use, size := usage.Uses[run.Priority], ReservedSize(&run.Step)
			use.All = use.All.Add(size)
			if run.Step.LongRunning {
				use.Lasting = use.Lasting.Add(size)
			}
			usage.Uses[run.Priority] = use
		}
	}
	return usage
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
