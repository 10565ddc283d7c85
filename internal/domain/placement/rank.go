package placement

import (
	"time"

	"skylarkstall/internal/domain/objective"
)

// Rank orders the steps of one priority while there is no room for all; the lowest goes first. What can be completed in time precedes what
// is late already, since that gains nothing by going first, and all that is within the shares of its accounts precedes the excess.
type Rank uint8

// firstRank is the rank of steps that are behind no other than older ones.
const firstRank Rank = 0

// excessRank is the first rank of jobs that were accepted beyond the share of their account.
const excessRank = Rank(objective.Hopeless) + 1

// MaxBehind is how long a step with tasks to start is ranked behind others of its priority. After that it goes by age, before nearly all
// of them: what was accepted is finished. It is longer than bursts usually last, and short beside the time for which the result of a wide job
// is of use although it is late.
const MaxBehind = 10 * time.Second

// RankOf returns the rank of a step of which tasks have waited for a time.
func RankOf(standing objective.Standing, excess bool, waited time.Duration) Rank {
	switch {
	case waited >= MaxBehind:
		return firstRank
	case excess:
		return excessRank + Rank(standing)
	default:
		return Rank(standing)
	}
}

// IsBehind reports whether the step is ranked behind others of its priority.
func (r Rank) IsBehind() bool { return r != firstRank }

// BehindForExcess reports whether it is because its job was accepted beyond the share of its account.
func (r Rank) BehindForExcess() bool { return r >= excessRank }
