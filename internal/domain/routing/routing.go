// Package routing chooses the owner that a home sends a task to, from the digests that processes tell each other.
package routing

import (
	"math/rand/v2"

	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

// Candidate is a process that may own a worker with room.
type Candidate struct {
	Process ident.ProcessID
	Zone    ident.Zone
	Self    bool
	Digest  fleet.Digest
}

// ChooseOwner returns the owner to try: the home itself when it has room and an empty queue, otherwise the better of two
// random candidates. Two choices keep homes from all choosing the same owner on the same old digest. It returns
// false if no candidate is left.
func ChooseOwner(random *rand.Rand, candidates []Candidate, spec work.Spec, zone ident.Zone) (ident.ProcessID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	for _, c := range candidates {
		if c.Self && hasRoom(c, spec) && c.Digest.Queued[spec.Class] == 0 {
			return c.Process, true
		}
	}
	a := candidates[random.IntN(len(candidates))]
	b := candidates[random.IntN(len(candidates))]
	if better(b, a, spec, zone) {
		a = b
	}
	return a.Process, true
}

func hasRoom(c Candidate, spec work.Spec) bool {
	return spec.Size.Fits(c.Digest.LargestFree)
}

func better(a, b Candidate, spec work.Spec, zone ident.Zone) bool {
	if ra, rb := hasRoom(a, spec), hasRoom(b, spec); ra != rb {
		return ra
	}
	if qa, qb := a.Digest.Queued[spec.Class], b.Digest.Queued[spec.Class]; qa != qb {
		return qa < qb
	}
	if la, lb := a.Zone == zone, b.Zone == zone; la != lb {
		return la
	}
	return a.Digest.Free.MilliCores > b.Digest.Free.MilliCores
}
