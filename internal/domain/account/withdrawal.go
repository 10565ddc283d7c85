package account

import "time"

// WithdrawalPolicy bounds how long a key may be accepted after the operator has withdrawn it. The zero value sets no bounds: the active
// set of accounts decides, however old it is.
type WithdrawalPolicy struct {
	// RevokeBound is the time after the acknowledgement of a change from which no call may run that is sent with a key which the change
	// took away; 0 sets no bounds.
	RevokeBound time.Duration
	// ApplyBound is the time after the acknowledgement of a change from which no call may be rejected that is sent with a key which the
	// change added.
	ApplyBound time.Duration
}

// usableTenths is the part of a bound for which evidence is used, in tenths. The rest is for clocks of the VMs that run at different
// rates (2% in the worst case, on each process that passes the evidence on) and for the rounding of ages between processes.
const usableTenths = 9

func usable(bound time.Duration) time.Duration { return bound / 10 * usableTenths }

// IsSet reports whether the policy sets bounds.
func (p WithdrawalPolicy) IsSet() bool { return p.RevokeBound > 0 }

// Evidence states that the active set of accounts was the newest one at a time. The zero value is no evidence.
type Evidence struct {
	At     time.Time // by a clock that counts suspensions; counted from before the read of the store that the evidence stems from
	Source string    // who stated it
}

// Age returns the age of the evidence, and false if there is none.
func (e Evidence) Age(now time.Time) (time.Duration, bool) {
	if e.At.IsZero() {
		return 0, false
	}
	return now.Sub(e.At), true
}

// Verdict is the decision on the key of a call.
type Verdict uint8

// The verdicts.
const (
	Accepted       Verdict = iota
	UnknownKey             // no account has the key
	EvidenceTooOld         // the key may have been withdrawn, or added, since the evidence
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"accepted", "unknown key", "evidence too old"}[v]
}

// Decide returns the decision on a call, given whether the active set knows its key. The time must have been taken after the whole call
// was read: then the call was sent before it, and a change that the evidence does not cover was acknowledged, when the call was sent, no
// longer ago than the age of the evidence.
func (p WithdrawalPolicy) Decide(known bool, evidence Evidence, now time.Time) Verdict {
	bound := usable(p.ApplyBound)
	if known {
		bound = usable(p.RevokeBound)
	}
	age, any := evidence.Age(now)
	switch {
	case p.IsSet() && (!any || age > bound):
		return EvidenceTooOld
	case !known:
		return UnknownKey
	default:
		return Accepted
	}
}
