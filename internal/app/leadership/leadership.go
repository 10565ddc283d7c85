// Package leadership elects the leader of a cell. The leader holds a key of the store that is bound to a lease, and stays
// leader as long as it renews the lease.
package leadership

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Timing of the election.
const (
	// leaseTTL is how long the key outlives a leader that crashed.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval leaves time for two more attempts before the lease expires.
	renewInterval = 400 * time.Millisecond
	callTimeout   = 400 * time.Millisecond
	// watchWait is how long one watch call waits for a change of the leader key.
	watchWait     = 3 * time.Second
	retryInterval = 150 * time.Millisecond
	// giveWayDelay is how long a leader that gave way leaves the key to others. It exceeds their election delays.
	giveWayDelay = 1500 * time.Millisecond
	// handOverDelay is how long a leader that handed over leaves the key to others. It exceeds the longest election delay.
	handOverDelay = 800 * time.Millisecond
)

// MaxRenewalGap is how long a leader continues to send requests to workers without a confirmed lease renewal. Store
// outages last about 5 s. Continuing is safe because workers reject the fencing token of a leader that was replaced.
const MaxRenewalGap = 6 * time.Second

// ConfirmedFor is how long a renewal of its lease, or the answers of most workers, confirm a leader. Afterwards it lets no task run.
const ConfirmedFor = time.Second

// Term is the period in which one process leads.
type Term struct {
	Number             uint64
	Token              ident.Epoch    // fencing token of its requests to workers
	Revision           ident.Revision // revision of the leader key, a condition of the leader's writes
	HasPredecessor     bool           // an earlier term exists
	PredecessorStopped bool           // the previous leader recorded the end of its term, and that no earlier one was left
	// PredecessorSilentAt is the time from which the previous leader lets no task run, unless most workers confirm it after its lease
	// was ended; zero if it has stopped.
	PredecessorSilentAt time.Time
	EarlierSilentAt     time.Time     // from when no leader before the previous one sends requests; zero if that has been so
	Renewal             *Renewal      // when the lease was last renewed; nil in tests that need none
	Lateness            *Lateness     // whether the leader keeps up; nil in tests that need none
	earlierActive       time.Duration // from the start of the term until allSilentAt
}

// Renewal is the time of the last confirmed renewal of the leader's lease. It is safe for concurrent use.
type Renewal struct{ last atomic.Pointer[time.Time] }

// Mark records a renewal that was requested at the given time.
func (r *Renewal) Mark(at time.Time) { r.last.Store(&at) }

// Within reports whether the lease was renewed less than the given time ago.
func (r *Renewal) Within(limit time.Duration, now time.Time) bool {
	if r == nil {
		return true
	}
	last := r.last.Load()
	return last != nil && now.Sub(*last) <= limit
}

// InForce reports whether the leader may still send requests to workers. It has to be asked right before a request is
// sent, because the process may have been paused since the last decision.
func (r *Renewal) InForce(now time.Time) bool { return r.Within(MaxRenewalGap, now) }

// LeadFunc runs the leader's work. It returns when the context ends, when it finds that the process is no longer the
// leader, or to give way to a process that may be able to do the work when this one is not.
type LeadFunc func(ctx context.Context, term Term) (giveWay bool)

// Election takes part in the election on behalf of one process.
type Election struct {
	self       port.Leader // Term is not set
	store      port.TxnStore
	codec      port.RecordCodec
	follower   port.Follower
	lead       LeadFunc
	log        *slog.Logger
	resigned   chan struct{}
	resignOnce sync.Once
	gaveWayAt  time.Time // when this process last gave way; zero if it never did
	handedOver time.Time // when it last handed over to a better placed process; zero if it never did
	tenure     *fitness.Tenure
	latestTerm seenTerm // as read from the store, or led
}

// New returns an Election that starts with Run. Before it takes a vacant leader key it waits for the election delay of
// self, so a process with a longer delay becomes leader only if no process with a shorter one does.
func New(
	self port.Leader, store port.TxnStore, codec port.RecordCodec, follower port.Follower,
	lead LeadFunc, log *slog.Logger,
) *Election {
	return &Election{
		self: self, store: store, codec: codec, follower: follower, lead: lead, log: log,
		resigned: make(chan struct{}), tenure: fitness.NewTenure(self.Share),
	}
}

// Resign gives up leadership permanently. The process continues to follow other leaders.
func (e *Election) Resign() { e.resignOnce.Do(func() { close(e.resigned) }) }

func (e *Election) hasResigned() bool {
	select {
	case <-e.resigned:
		return true
	default:
		return false
	}
}

// leaderState is the content of the leader key as of a revision of the store.
type leaderState struct {
	leader   port.Leader
	revision ident.Revision // revision of the key; 0 if there is no leader
	lease    port.LeaseID   // to which the key is bound
	asOf     ident.Revision // revision of the store at the read
	dead     bool           // the process that holds the key is most likely not running
}

// Run follows the leader, or leads, until the context ends. A leader then releases its key.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s, err := e.readLeader(ctx)
		if err != nil {
			e.log.Warn("leader not read", "error", err)
			e.followDiscovered(ctx)
			pause.For(ctx, retryInterval)
			continue
		}
		if s.revision != 0 {
			e.latestTerm.observe(s.leader.Term, time.Now())
		}
		if s.revision != 0 && s.leader.Incarnation != e.self.Incarnation {
			if s.dead = e.followLeader(ctx, s); !s.dead {
				continue
			}
		}
		if e.hasResigned() {
			pause.For(ctx, retryInterval)
		} else if e.isStillVacant(ctx, s) {
			e.acquireAndLead(ctx, s)
		}
	}
}

// isStillVacant waits for the election delay, or longer if this process gave way, and reports whether no other process took the key in that time.
func (e *Election) isStillVacant(ctx context.Context, s leaderState) bool {
	delay := max(e.electionDelay(), giveWayDelay-time.Since(e.gaveWayAt), handOverDelay-time.Since(e.handedOver))
	if delay <= 0 {
		return ctx.Err() == nil
	}
	if !pause.For(ctx, delay) {
		return false
	}
	current, err := e.readLeader(ctx)
	return err == nil && current.revision == s.revision
}

// electionDelay follows from the shares of a processor that the process has learnt of others, once it has learnt any.
func (e *Election) electionDelay() time.Duration {
	if largest := e.follower.LargestShare(); largest > 0 && e.self.Share > 0 {
		return fitness.ElectionDelay(e.self.Share, largest)
	}
	return e.self.ElectionDelay
}

func (e *Election) readLeader(ctx context.Context) (leaderState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, asOf, err := e.store.List(ctx, port.LeaderKey)
	if err != nil || len(entries) == 0 {
		return leaderState{asOf: asOf}, err
	}
	leader, err := e.codec.DecodeLeader(entries[0].Value)
	if err != nil {
		return leaderState{}, err
	}
	return leaderState{leader: leader, revision: entries[0].Revision, lease: entries[0].Lease, asOf: asOf}, nil
}

// followLeader keeps a session to the leader. It returns true when the leader seems to be dead, and false when the leader
// key changes, another process leads or the context ends.
func (e *Election) followLeader(ctx context.Context, s leaderState) bool {
	e.log.Info("following", "leader", s.leader.Process, "term", s.leader.Term)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sessionResult := make(chan port.FollowResult, 1)
	sessionEnded := make(chan struct{})
	go func() {
		defer close(sessionEnded)
		sessionResult <- e.keepSession(ctx, s.leader)
	}()
	keyChanged := make(chan struct{})
	go func() {
		defer close(keyChanged)
		e.awaitKeyChange(ctx, s)
	}()
	offerEnded := make(chan struct{})
	go func() {
		defer close(offerEnded)
		e.offerToSucceed(ctx, s.leader)
	}()
	result := port.LeaderSessionLost
	select {
	case result = <-sessionResult:
	case <-keyChanged:
	}
	cancel()
	<-sessionEnded
	<-keyChanged
	<-offerEnded
	return result == port.LeaderDead
}

// followDiscovered follows the leader that other processes report, until the session breaks or the store is reachable
// again.
func (e *Election) followDiscovered(ctx context.Context) {
	leader, ok := e.follower.DiscoverLeader(ctx)
	if !ok || leader.Incarnation == e.self.Incarnation {
		return
	}
	e.log.Info("following by the word of other processes", "leader", leader.Process, "term", leader.Term)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sessionEnded := make(chan struct{})
	go func() {
		defer close(sessionEnded)
		defer cancel()
		e.follower.Follow(ctx, leader)
	}()
	for pause.For(ctx, 2*retryInterval) {
		if _, err := e.readLeader(ctx); err == nil {
			break
		}
	}
	cancel()
	<-sessionEnded
}

// keepSession opens a session to the leader, and opens it again when it breaks, until the leader is dead or replaced or the
// context ends.
func (e *Election) keepSession(ctx context.Context, leader port.Leader) port.FollowResult {
	result := port.LeaderSessionLost
	for ctx.Err() == nil && result != port.LeaderDead && result != port.LeaderReplaced {
		result = e.follower.Follow(ctx, leader)
	}
	return result
}

// awaitKeyChange returns when the leader key differs from what was read, or when the context ends.
func (e *Election) awaitKeyChange(ctx context.Context, s leaderState) {
	after := s.asOf
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		events, asOf, err := e.store.Watch(watchCtx, port.LeaderKey, after, watchWait)
		cancel()
		if len(events) > 0 {
			return
		}
		if err == nil {
			after = max(asOf, after)
			continue
		}
		pause.For(ctx, retryInterval)
		current, err := e.readLeader(ctx)
		if err != nil {
			continue
		}
		if current.revision != s.revision {
			return
		}
		after = max(current.asOf, after)
	}
}

// acquireAndLead takes the leader key, provided that it has not changed since it was read, and leads until the term ends.
func (e *Election) acquireAndLead(ctx context.Context, s leaderState) {
	term, lease, err := e.acquire(ctx, s)
	if err != nil {
		e.log.Info("leadership not taken", "error", err)
		pause.For(ctx, retryInterval/3)
		return
	}
	e.latestTerm.observe(term.Number, time.Now())
	e.log.Info("leadership taken", "term", term.Number, "token", term.Token, "before", s.leader.Process)
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.resigned:
			cancel()
		case <-leadCtx.Done():
		}
	}()
	leadEnded := make(chan struct{})
	go func() {
		defer close(leadEnded)
		defer cancel()
		if e.lead(leadCtx, term) {
			e.gaveWayAt = time.Now()
			e.log.Warn("gives way to other processes", "term", term.Number)
		}
	}()
	handOverDecided := make(chan struct{})
	go func() {
		defer close(handOverDecided)
		if e.awaitSuccessor(leadCtx, term) {
			e.handedOver = time.Now()
			cancel()
		}
	}()
	go term.Lateness.watchTimers(leadCtx)
	silenceRecorded := make(chan struct{})
	go func() {
		defer close(silenceRecorded)
		e.recordSilence(leadCtx, term)
	}()
	reason := e.renewLease(leadCtx, lease, term.Renewal)
	cancel()
	<-leadEnded
	<-silenceRecorded
	<-handOverDecided
	e.log.Info("leadership ended", "term", term.Number, "reason", reason)
	e.release(term)
}

func (e *Election) acquire(ctx context.Context, s leaderState) (Term, port.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	last, err := e.readTermRecord(ctx)
	if err != nil {
		return Term{}, 0, err
	}
	lease, err := e.store.Grant(ctx, leaseTTL)
	if err != nil {
		return Term{}, 0, err
	}
	leaseEnded := false
	if s.dead && s.lease != 0 {
		if err := e.endLease(ctx, s.lease); err != nil {
			return Term{}, 0, err
		}
		leaseEnded, s.revision = true, 0
	}
	sentAt := time.Now()
	term := e.successor(last, leaseEnded, sentAt)
	self := e.self
	self.Term = term.Number
	committed, err := e.store.Commit(ctx, port.Txn{
		If: []port.Condition{{Key: port.LeaderKey, Revision: s.revision}, {Key: port.TermKey, Revision: last.revision}},
		Writes: append(term.writes(), port.Write{
			Key: port.LeaderKey, Value: e.codec.EncodeLeader(self), Lease: lease,
		}),
	})
	if err != nil {
		return Term{}, 0, err
	}
	term.Token, term.Revision, term.Renewal = ident.Epoch(committed.Revision), committed.Revision, &Renewal{}
	term.Lateness = &Lateness{}
	term.Renewal.Mark(sentAt)
	return term, lease, nil
}

// endLease ends the lease of a leader that seems to be dead, which removes its key. If the process is running nevertheless, its next
// renewal fails. It would go on if its key were only overwritten: the lease would last.
func (e *Election) endLease(ctx context.Context, lease port.LeaseID) error {
	if err := e.store.EndLease(ctx, lease); !fault.Is(err, fault.NotFound) {
		return err
	}
	return nil
}

// renewLease renews the lease until the lease is lost or the context ends, and returns the reason why it stopped.
func (e *Election) renewLease(ctx context.Context, lease port.LeaseID, renewal *Renewal) string {
	lastRenewal := time.Now()
	for pause.For(ctx, renewInterval) {
		sentAt := time.Now()
		renewCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.store.KeepAlive(renewCtx, lease)
		cancel()
		switch {
		case err == nil:
			lastRenewal = sentAt
			renewal.Mark(sentAt)
		case fault.Is(err, fault.NotFound):
			return "the lease expired"
		case time.Since(lastRenewal) > MaxRenewalGap:
			return "no lease renewal succeeded in time"
		default:
			e.log.Warn("lease not renewed", "error", err, "unconfirmed_ms", time.Since(lastRenewal).Milliseconds())
		}
	}
	return "the leader stopped its work"
}

// release deletes the leader key, so that the next leader need not wait until the lease expires, and records that this leader sends no
// further requests to workers, and whether any earlier one may.
func (e *Election) release(term Term) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	record := port.Write{Key: port.TermKey, Value: []byte(formatTerm(term.Number) + termEndedSuffix)}
	if time.Now().Before(term.allSilentAt()) {
		earlier := formatEarlier(term.Number, term.earlierActive)
		record = port.Write{Key: port.EarlierTermKey, Value: []byte(earlier + stoppedSuffix)}
	}
	_, err := e.store.Commit(ctx, port.Txn{
		If:     []port.Condition{{Key: port.LeaderKey, Revision: term.Revision}},
		Writes: []port.Write{record}, Deletes: []string{port.LeaderKey},
	})
	if err != nil && !fault.Is(err, fault.Conflict) {
		e.log.Warn("leadership not given up", "error", err)
	}
}
