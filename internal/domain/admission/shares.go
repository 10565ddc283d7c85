package admission

import (
	"math"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/workflow"
)

// Parameters of the accounting of shares.
const (
	// burstTime is for how long an account that has submitted nothing may submit at once what it is entitled to. It is the unit
	// of shares, which are stated per second.
	burstTime = time.Second
	// minBurst lets an account with a small share submit two jobs at once.
	minBurst = 2
	// rateTime is the time constant of the measured rate.
	rateTime = 2 * time.Second
	// countedTime is for how long a job that was decided on is remembered, so that it is not counted again when it is announced or
	// submitted again. It covers maxReturn; an announcement is repeated for 4 s.
	countedTime = 15 * time.Second
	// calmLevel is the part of the burst from which on an account no longer submits more than its share.
	calmLevel = 0.5
)

// Shares counts the jobs of each account against its share. An account that has not submitted anything lately takes no memory.
// It is not safe for concurrent use. The zero value is not usable; see NewShares.
type Shares struct {
	accounts map[account.ID]*usage
	counted  map[workflow.ID]counted
}

// usage is what an account has used of its share.
type usage struct {
	tokens  float64 // jobs that it may submit now within its share
	rate    float64 // submissions per second
	at      time.Time
	returns returnSlots
}

type counted struct {
	at     time.Time
	within bool
}

// NewShares returns the usage of accounts of which none has submitted anything.
func NewShares() *Shares {
	return &Shares{accounts: map[account.ID]*usage{}, counted: map[workflow.ID]counted{}}
}

func burst(share float64) float64 { return max(share*burstTime.Seconds(), minBurst) }

// advance brings the usage up to the time.
func (u *usage) advance(share float64, now time.Time) {
	if elapsed := now.Sub(u.at).Seconds(); elapsed > 0 {
		u.tokens += elapsed * share
		u.rate *= math.Exp(-elapsed / rateTime.Seconds())
		u.at = now
	}
	u.tokens = min(u.tokens, burst(share))
}

// Take counts a job, and reports whether it is within the share, in jobs per second. A job beyond the share uses up nothing of it. A job
// that was counted lately is not counted again: one that is beyond the share stays so while its account submits more than its share, so
// that it takes nothing from later ones that are within.
func (s *Shares) Take(job workflow.ID, id account.ID, share float64, now time.Time) bool {
	u := s.accounts[id]
	if u == nil {
		u = &usage{tokens: burst(share), at: now}
		s.accounts[id] = u
	}
	u.advance(share, now)
	known, again := s.counted[job]
	if known.within {
		return true
	}
	if !again {
		u.rate += 1 / rateTime.Seconds()
	}
	within := u.tokens >= 1 && (!again || u.tokens >= calmLevel*burst(share))
	if within {
		u.tokens--
	}
	s.counted[job] = counted{now, within}
	return within
}

// Rate returns the jobs per second that an account submits, also those that were refused, averaged over about 2 s.
func (s *Shares) Rate(id account.ID, now time.Time) float64 {
	u := s.accounts[id]
	if u == nil {
		return 0
	}
	return u.rate * math.Exp(-max(now.Sub(u.at), 0).Seconds()/rateTime.Seconds())
}

// NextReturn returns when the caller of a job beyond the share should return: callers return at the rate of the share, the longest
// waiting first, and not before the given time.
func (s *Shares) NextReturn(id account.ID, share float64, earliest time.Duration, now time.Time) time.Duration {
	u := s.accounts[id]
	if u == nil {
		return minReturn
	}
	return u.returns.next(earliest, time.Duration(float64(time.Second)/share), now)
}

// Prune drops what is no longer needed.
func (s *Shares) Prune(now time.Time) {
	for job, known := range s.counted {
		if now.Sub(known.at) > countedTime {
			delete(s.counted, job)
		}
	}
	for id, u := range s.accounts {
		if now.Sub(u.at) > countedTime && !u.returns.last.After(now) {
			delete(s.accounts, id)
		}
	}
}
