// Package routing chooses the owner to which a home sends a task, based on the capacity digests that processes exchange
// in heartbeats.
package routing

import (
	"math/rand/v2"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// Candidate is a process that may own a worker with enough free capacity.
type Candidate struct {
	Process ident.ProcessID
	Zone    ident.Zone
	Self    bool // the process is the home itself
	Digest  fleet.Digest
}

// ChooseOwner returns the owner to try: the home itself if the task fits there and its queue for the class is empty,
// otherwise the better of two random candidates. Choosing between two random candidates prevents all homes from
// selecting the same owner based on the same stale digest. It returns false if there are no candidates.
func ChooseOwner(random *rand.Rand, candidates []Candidate, spec work.Spec, zone ident.Zone) (ident.ProcessID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	for _, c := range candidates {
		if c.Self && fits(c, spec) && c.Digest.Queued[spec.Class] == 0 {
			return c.Process, true
		}
	}
	best := candidates[random.IntN(len(candidates))]
	other := candidates[random.IntN(len(candidates))]
	if preferred(other, best, spec, zone) {
		best = other
	}
	return best.Process, true
}

func fits(c Candidate, spec work.Spec) bool {
	return spec.Size.Fits(c.Digest.LargestFree)
}

// preferred reports whether a is a better choice than b: by free capacity for the task, then by queue length for its
// class, then by zone, then by free processor capacity.
func preferred(a, b Candidate, spec work.Spec, zone ident.Zone) bool {
	if fitsA, fitsB := fits(a, spec), fits(b, spec); fitsA != fitsB {
		return fitsA
	}
	if queuedA, queuedB := a.Digest.Queued[spec.Class], b.Digest.Queued[spec.Class]; queuedA != queuedB {
		return queuedA < queuedB
	}
	if localA, localB := a.Zone == zone, b.Zone == zone; localA != localB {
		return localA
	}
	return a.Digest.Free.MilliCores > b.Digest.Free.MilliCores
}
