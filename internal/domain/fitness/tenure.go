package fitness

import "time"

// Thresholds of a hand-over to a better placed process.
const (
	// startingTime is how long after the start of a term a cell counts as starting. Little runs then, and a hand-over costs less than
	// one under the load that follows.
	startingTime = 10 * time.Second
	// smallRatio is the ratio of the shares from which on a leader hands over although it keeps up: a burst would exceed its share
	// before it could.
	smallRatio = 2.5
	// tooLateAfter is how long a leader has to be late before it hands over. Pauses and single bursts are shorter.
	tooLateAfter = 1500 * time.Millisecond
	// minHandOverInterval is the time between two hand-overs for fitness by one process. It could lead again in between if the process
	// to which it handed over is lost at once.
	minHandOverInterval = 20 * time.Second
)

// Reason tells why a leader hands over to a better placed process.
type Reason string

// Reasons for a hand-over.
const (
	Stays       Reason = ""
	CellStarts  Reason = "the cell is starting"
	SmallShare  Reason = "its share is small"
	FallsBehind Reason = "it is late"
)

// Tenure is the aggregate of one process's terms as leader: when it has to hand over to a better placed process.
type Tenure struct {
	own        Share
	began      time.Time // of the latest term
	handedOver time.Time // for fitness; zero if it never did
}

// NewTenure returns the tenure of a process with the given share.
func NewTenure(own Share) *Tenure { return &Tenure{own: own} }

// Begin records the start of a term.
func (t *Tenure) Begin(now time.Time) { t.began = now }

// HandOver decides whether the leader hands over to a process with the offered share, given for how long the leader has been late.
// A process with an unknown share offers by an older rule, which the leader follows.
func (t *Tenure) HandOver(offered Share, lateFor time.Duration, now time.Time) Reason {
	reason := t.reason(offered, lateFor, now)
	if reason == Stays || !t.handedOver.IsZero() && now.Sub(t.handedOver) < minHandOverInterval {
		return Stays
	}
	t.handedOver = now
	return reason
}

func (t *Tenure) reason(offered Share, lateFor time.Duration, now time.Time) Reason {
	switch {
	case t.own <= 0 || offered <= 0:
		return SmallShare
	case !offered.Outmatches(t.own):
		return Stays
	case now.Sub(t.began) < startingTime:
		return CellStarts
	case offered >= smallRatio*t.own:
		return SmallShare
	case lateFor >= tooLateAfter:
		return FallsBehind
	default:
		return Stays
	}
}
