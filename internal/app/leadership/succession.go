package leadership

import (
	"context"
	"time"

	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Timing of the succession of a leader with a small share of a processor. Such a process may become leader when all
// processes start at once, and does not keep up with a large cell.
const (
	// offerDelay leaves the leader time to read the store, which the successor then finds up to date.
	offerDelay = 500 * time.Millisecond
	// offerTTL is how long an offer stands: the leader checks for it every renewInterval.
	offerTTL = 2 * time.Second
	// offerInterval is the interval at which an offer is repeated while the leader stays.
	offerInterval = 5 * time.Second
	// unableTime is how long a process that gave way does not offer to lead.
	unableTime = 30 * time.Second
)

// offerToSucceed offers to lead in place of a process with a longer election delay, until the context ends. The offer of
// one process suffices: every process may take the key that the leader then releases.
func (e *Election) offerToSucceed(ctx context.Context, leader port.Leader) {
	if e.self.ElectionDelay >= leader.ElectionDelay || e.hasResigned() {
		return
	}
	for wait := offerDelay; pause.For(ctx, wait); wait = offerInterval {
		if time.Since(e.gaveWayAt) < unableTime {
			continue
		}
		if err := e.offerOnce(ctx); err != nil && !fault.Is(err, fault.Conflict) {
			e.log.Info("succession not offered", "leader", leader.Process, "error", err)
		}
	}
}

// offerOnce writes the offer unless there is one. It fails with Conflict if there is.
func (e *Election) offerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	if _, err := e.store.Get(ctx, port.SuccessorKey); !fault.Is(err, fault.NotFound) {
		return err
	}
	lease, err := e.store.Grant(ctx, offerTTL)
	if err != nil {
		return err
	}
	_, err = e.store.Commit(ctx, port.Txn{
		If:     []port.Condition{{Key: port.SuccessorKey}},
		Writes: []port.Write{{Key: port.SuccessorKey, Value: []byte(e.self.Process), Lease: lease}},
	})
	return err
}

// awaitSuccessor waits until a process that is better suited to lead has offered to, and reports false if the context ends
// first.
func (e *Election) awaitSuccessor(ctx context.Context) bool {
	for pause.For(ctx, renewInterval) {
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		offer, err := e.store.Get(readCtx, port.SuccessorKey)
		cancel()
		if err == nil {
			e.log.Info("leadership handed over to a process with a larger share of a processor", "offer", string(offer.Value))
			return true
		}
	}
	return false
}
