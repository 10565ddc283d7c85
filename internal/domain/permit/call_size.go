package permit

import "time"

// Sizes of calls to the permit service, in workers.
const (
	// maxWorkersPerCall is the permit service's limit.
	maxWorkersPerCall = 100
	// maxWorkersPerSlowCall bounds the duration of calls that take long for each worker.
	maxWorkersPerSlowCall = 30
	// The minimum leaves a choice of workers, also for runs that avoid workers after a failure.
	minWorkersPerCall     = 16
	minWorkersPerSlowCall = 8
	// fastCallPerWorker is the longest time per worker for which a call counts as fast.
	fastCallPerWorker = time.Millisecond
	// maxCallShare is the share of a ticket's validity that a call may take: the tickets are valid from before the call on, and are of use
	// only afterwards.
	maxCallShare = 0.4
)

// CallTimes are the times of a queue's calls to the permit service.
type CallTimes struct {
	Fixed     time.Duration // of a call, without the part for each worker
	PerWorker time.Duration
	TicketTTL time.Duration // counted from before the call
}

// Duration returns how long a call for some workers takes.
func (c CallTimes) Duration(workers int) time.Duration {
	return c.Fixed + time.Duration(workers)*c.PerWorker
}

// CallSize bounds how many workers a call names.
type CallSize struct{ Min, Max int }

// Size returns the size of a call. Where every process has calls in progress, the service is what steps wait for, and a call should bring
// many tickets for the time that it takes: as many workers as take as long as the rest of the call, so that at most half of the time brings
// no ticket. Otherwise a call should be short, and further ones for the step go through other processes.
func (c CallTimes) Size(saturated bool) CallSize {
	if c.PerWorker <= fastCallPerWorker {
		return CallSize{minWorkersPerCall, maxWorkersPerCall}
	}
	if !saturated {
		return CallSize{minWorkersPerSlowCall, maxWorkersPerSlowCall}
	}
	useful := time.Duration(maxCallShare*float64(c.TicketTTL)) - c.Fixed
	workers := min(int(c.Fixed/c.PerWorker), int(useful/c.PerWorker), maxWorkersPerCall)
	workers = max(workers, minWorkersPerSlowCall)
	return CallSize{workers, max(workers, maxWorkersPerSlowCall)}
}
