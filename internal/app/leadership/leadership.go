// Package leadership elects one process of the cell through one key of the store, and keeps it elected by a lease.
package leadership

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Times of the election.
const (
	// leaseTTL is how long a leader that lost power keeps the key.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval leaves two further tries before the lease ends.
	renewInterval = 400 * time.Millisecond
	callTimeout   = 400 * time.Millisecond
	// watchWait is how long one call waits for another leader.
	watchWait  = 3 * time.Second
	retryPause = 150 * time.Millisecond
)

// MaxRenewalGap is how long a leader goes on giving orders without a renewal. The store is away for about five seconds
// at a time, and workers refuse the orders of a leader that was replaced.
const MaxRenewalGap = 6 * time.Second

// Term is one process's time as leader.
type Term struct {
	Number             uint64
	Token              ident.Epoch    // fencing token of its orders
	Revision           ident.Revision // of the leader's key, a condition of its writes
	HasPredecessor     bool           // there was a leader before
	PredecessorStopped bool           // whoever led before is certainly gone, or has ended its work
}

// LeadFunc does the leader's work until the context ends or the process finds that it does not lead any more.
type LeadFunc func(ctx context.Context, term Term)

// Election is one process's part in the election.
type Election struct {
	self     port.Leader   // without a term
	patience time.Duration // for which the key is left to other processes
	ledger   port.TxnStore
	records  port.RecordCodec
	follower port.Follower
	lead     LeadFunc
	log      *slog.Logger
	retired  chan struct{}
	retire   sync.Once
}

// New returns a part that takes effect once Run is called. A process with more patience leads only when none with less
// does.
func New(
	self port.Leader, patience time.Duration, ledger port.TxnStore, records port.RecordCodec, follower port.Follower, lead LeadFunc, log *slog.Logger,
) *Election {
	return &Election{
		self: self, patience: patience, ledger: ledger, records: records, follower: follower, lead: lead, log: log,
		retired: make(chan struct{}),
	}
}

// Resign gives up leading for good. The process still follows.
func (e *Election) Resign() { e.retire.Do(func() { close(e.retired) }) }

func (e *Election) isRetired() bool {
	select {
	case <-e.retired:
		return true
	default:
		return false
	}
}

// seat is the leader's key as it was read.
type seat struct {
	leader   port.Leader
	revision ident.Revision // 0: there is no leader
	asOf     ident.Revision
	gone     bool // the process that holds the key is certainly gone
}

// Run follows the leader, or leads, until the context ends. A leader then gives up its key.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s, err := e.read(ctx)
		if err != nil {
			e.log.Warn("leader not read", "error", err)
			e.followByWord(ctx)
			pause.For(ctx, retryPause)
			continue
		}
		if s.revision != 0 && s.leader.Incarnation != e.self.Incarnation {
			if s.gone = e.follow(ctx, s); !s.gone {
				continue
			}
		}
		if e.isRetired() {
			pause.For(ctx, retryPause)
		} else if e.isVacantStill(ctx, s) {
			e.takeAndLead(ctx, s)
		}
	}
}

// isVacantStill leaves the key to other processes for a while, and reports whether none took it.
func (e *Election) isVacantStill(ctx context.Context, s seat) bool {
	if e.patience <= 0 {
		return ctx.Err() == nil
	}
	if !pause.For(ctx, e.patience) {
		return false
	}
	now, err := e.read(ctx)
	return err == nil && now.revision == s.revision
}

func (e *Election) read(ctx context.Context) (seat, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, asOf, err := e.ledger.List(ctx, port.LeaderKey)
	if err != nil || len(entries) == 0 {
		return seat{asOf: asOf}, err
	}
	leader, err := e.records.DecodeLeader(entries[0].Value)
	if err != nil {
		return seat{}, err
	}
	return seat{leader: leader, revision: entries[0].Revision, asOf: asOf}, nil
}

// follow returns once the key changed, or with true once the leader is certainly gone.
func (e *Election) follow(ctx context.Context, s seat) bool {
	e.log.Info("following", "leader", s.leader.Process, "term", s.leader.Term)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gone := make(chan bool, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		gone <- e.attend(ctx, s.leader)
	}()
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		e.awaitChange(ctx, s)
	}()
	dead := false
	select {
	case dead = <-gone:
	case <-changed:
	}
	cancel()
	<-ended
	<-changed
	return dead
}

// followByWord follows the leader that other processes name, until the session breaks or the store is reached.
func (e *Election) followByWord(ctx context.Context) {
	leader, ok := e.follower.DiscoverLeader(ctx)
	if !ok || leader.Incarnation == e.self.Incarnation {
		return
	}
	e.log.Info("following by the word of other processes", "leader", leader.Process, "term", leader.Term)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		e.follower.Follow(ctx, leader)
	}()
	for pause.For(ctx, 2*retryPause) {
		if _, err := e.read(ctx); err == nil {
			break
		}
	}
	cancel()
	<-ended
}

// attend keeps a session to the leader. It returns true once the leader is certainly gone.
func (e *Election) attend(ctx context.Context, leader port.Leader) bool {
	for ctx.Err() == nil {
		if e.follower.Follow(ctx, leader) == port.LeaderDead {
			return true
		}
	}
	return false
}

// awaitChange returns once the leader's key differs from what was read.
func (e *Election) awaitChange(ctx context.Context, s seat) {
	after := s.asOf
	for ctx.Err() == nil {
		waiting, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		events, asOf, err := e.ledger.Watch(waiting, port.LeaderKey, after, watchWait)
		cancel()
		if len(events) > 0 {
			return
		}
		if err == nil {
			after = max(asOf, after)
			continue
		}
		pause.For(ctx, retryPause)
		now, err := e.read(ctx)
		if err != nil {
			continue
		}
		if now.revision != s.revision {
			return
		}
		after = max(now.asOf, after)
	}
}

// takeAndLead takes the key, which must still be as it was read, and leads until that ends.
func (e *Election) takeAndLead(ctx context.Context, s seat) {
	term, lease, err := e.take(ctx, s)
	if err != nil {
		e.log.Info("leadership not taken", "error", err)
		pause.For(ctx, retryPause/3)
		return
	}
	e.log.Info("leadership taken", "term", term.Number, "token", term.Token, "before", s.leader.Process)
	leading, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.retired:
			cancel()
		case <-leading.Done():
		}
	}()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		e.lead(leading, term)
	}()
	reason := e.renew(leading, lease)
	cancel()
	<-ended
	e.log.Info("leadership ended", "term", term.Number, "reason", reason)
	e.giveUp(term)
}

func (e *Election) take(ctx context.Context, s seat) (Term, port.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	last, err := e.lastTerm(ctx)
	if err != nil {
		return Term{}, 0, err
	}
	lease, err := e.ledger.Grant(ctx, leaseTTL)
	if err != nil {
		return Term{}, 0, err
	}
	self := e.self
	self.Term = last.number + 1
	committed, err := e.ledger.Commit(ctx, port.Txn{
		If: []port.Condition{{Key: port.LeaderKey, Revision: s.revision}, {Key: port.TermKey, Revision: last.revision}},
		Writes: []port.Write{
			{Key: port.LeaderKey, Value: e.records.EncodeLeader(self), Lease: lease},
			{Key: port.TermKey, Value: []byte(strconv.FormatUint(self.Term, 10))},
		},
	})
	if err != nil {
		return Term{}, 0, err
	}
	return Term{
		Number: self.Term, Token: ident.Epoch(committed.Revision), Revision: committed.Revision, HasPredecessor: last.number > 0,
		PredecessorStopped: s.gone || last.over,
	}, lease, nil
}

// lastTerm is the record of the last term.
type lastTerm struct {
	number   uint64 // 0 before the first
	over     bool   // its leader had ended its work when it gave up the key
	revision ident.Revision
}

// termOver follows the number of a term whose leader has ended its work.
const termOver = " over"

func (e *Election) lastTerm(ctx context.Context) (lastTerm, error) {
	entry, err := e.ledger.Get(ctx, port.TermKey)
	if fault.Is(err, fault.NotFound) {
		return lastTerm{}, nil
	}
	if err != nil {
		return lastTerm{}, err
	}
	digits, over := strings.CutSuffix(string(entry.Value), termOver)
	number, err := strconv.ParseUint(digits, 10, 64)
	return lastTerm{number, over, entry.Revision}, fault.WrapAs(fault.Invalid, err, "read the number of the last term")
}

// renew keeps the lease and returns why it stopped.
func (e *Election) renew(ctx context.Context, lease port.LeaseID) string {
	confirmed := time.Now()
	for pause.For(ctx, renewInterval) {
		sent := time.Now()
		renewing, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.ledger.KeepAlive(renewing, lease)
		cancel()
		switch {
		case err == nil:
			confirmed = sent
		case fault.Is(err, fault.NotFound):
			return "the lease has ended"
		case time.Since(confirmed) > MaxRenewalGap:
			return "the lease could not be renewed"
		default:
			e.log.Warn("lease not renewed", "error", err, "unconfirmed_ms", time.Since(confirmed).Milliseconds())
		}
	}
	return "the leader's work ended"
}

// giveUp deletes the key, so that the next leader need not wait for the end of the lease, and records that no order follows.
func (e *Election) giveUp(term Term) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := e.ledger.Commit(ctx, port.Txn{
		If:      []port.Condition{{Key: port.LeaderKey, Revision: term.Revision}},
		Writes:  []port.Write{{Key: port.TermKey, Value: []byte(strconv.FormatUint(term.Number, 10) + termOver)}},
		Deletes: []string{port.LeaderKey},
	})
	if err != nil && !fault.Is(err, fault.Conflict) {
		e.log.Warn("leadership not given up", "error", err)
	}
}
