package leadership

import (
	"context"
	"strconv"
	"strings"
	"time"

	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Timing of the succession of a leader by a process with a larger share of a processor. Any process may become leader when all
// processes start at once. Whether and when it hands over is decided by fitness.Tenure.
const (
	// offerDelay leaves the leader time to read the store, which the successor then finds up to date.
	offerDelay = 500 * time.Millisecond
	// offerTTL is how long an offer stands unless it is renewed. It exceeds offerInterval, so that a leader that falls behind finds one.
	offerTTL = 6 * time.Second
	// offerInterval is the interval at which an offer is renewed while the leader stays.
	offerInterval = 5 * time.Second
	// unableTime is how long a process that gave way does not offer to lead.
	unableTime = 30 * time.Second
)

// offerToSucceed offers to lead in place of a process with a smaller share of a processor, until the context ends. The offer of
// one process suffices: every process may take the key that the leader then releases.
func (e *Election) offerToSucceed(ctx context.Context, leader port.Leader) {
	if !e.outmatches(leader) || e.hasResigned() {
		return
	}
	var offered port.LeaseID // of the offer of this process; 0 if there is none
	for wait := offerDelay; pause.For(ctx, wait); wait = offerInterval {
		if e.hasResigned() {
			return
		}
		if time.Since(e.gaveWayAt) < unableTime {
			continue
		}
		var err error
		if offered, err = e.offerOnce(ctx, offered); err != nil && !fault.Is(err, fault.Conflict) {
			e.log.Info("succession not offered", "leader", leader.Process, "error", err)
		}
	}
}

// outmatches reports whether this process is better placed to lead. A leader of an earlier version does not tell its share.
func (e *Election) outmatches(leader port.Leader) bool {
	if e.self.Share > 0 && leader.Share > 0 {
		return e.self.Share.Outmatches(leader.Share)
	}
	return e.self.ElectionDelay < leader.ElectionDelay
}

// offerOnce renews the offer that this process has made, or makes one unless another process has. It returns the lease of its offer, and
// fails with Conflict if another process was faster.
func (e *Election) offerOnce(ctx context.Context, offered port.LeaseID) (port.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	if offered != 0 {
		if err := e.store.KeepAlive(ctx, offered); !fault.Is(err, fault.NotFound) {
			return offered, err
		}
	}
	if _, err := e.store.Get(ctx, port.SuccessorKey); !fault.Is(err, fault.NotFound) {
		return 0, err
	}
	lease, err := e.store.Grant(ctx, offerTTL)
	if err != nil {
		return 0, err
	}
	_, err = e.store.Commit(ctx, port.Txn{
		If:     []port.Condition{{Key: port.SuccessorKey}},
		Writes: []port.Write{{Key: port.SuccessorKey, Value: []byte(formatOffer(e.self)), Lease: lease}},
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// formatOffer returns the record of an offer: the process, and its share of a processor in millicores.
func formatOffer(self port.Leader) string {
	return string(self.Process) + " " + strconv.FormatUint(uint64(self.Share.Millicores()), 10)
}

// parseOffer returns the process and the share of an offer. The share is 0 if a process of an earlier version offers.
func parseOffer(value []byte) (process string, share fitness.Share) {
	process, digits, _ := strings.Cut(string(value), " ")
	millicores, err := strconv.ParseUint(digits, 10, 32)
	if err != nil {
		return process, 0
	}
	return process, fitness.ShareOf(uint32(millicores))
}

// awaitSuccessor waits until a better placed process has offered to lead and the leader has a reason to hand over, and reports false if
// the context ends first. A leader that knows of no better placed process does not ask the store.
func (e *Election) awaitSuccessor(ctx context.Context, term Term) bool {
	e.tenure.Begin(time.Now())
	for pause.For(ctx, renewInterval) {
		if e.self.ElectionDelay == 0 && !e.follower.LargestShare().Outmatches(e.self.Share) {
			continue
		}
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		offer, err := e.store.Get(readCtx, port.SuccessorKey)
		cancel()
		if err != nil {
			continue
		}
		now := time.Now()
		process, share := parseOffer(offer.Value)
		lateFor := term.Lateness.For(now)
		if reason := e.tenure.HandOver(share, lateFor, now); reason != fitness.Stays {
			e.log.Info("leadership handed over to a process with a larger share of a processor", "offer", process, "reason", reason,
				"own_millicores", e.self.Share.Millicores(), "offered_millicores", share.Millicores(), "late_ms", lateFor.Milliseconds())
			return true
		}
	}
	return false
}
