package permit

import (
	"math"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/workflow"
)

// Limits of the calls to the permit service.
const (
	// maxUrgentBacklog is the longest wait for the calls before it with which an urgent call is still made.
	maxUrgentBacklog = 1500 * time.Millisecond
	// maxBacklog is that of other calls. It keeps a process busy; further calls wait with the leader, which chooses the next one by
	// priority, and their tickets do not expire while they wait.
	maxBacklog = 500 * time.Millisecond
	// maxCallsInProgress is below the number of waiting calls, 32, from which on the permit service refuses further ones.
	maxCallsInProgress = 24
	// failurePenalty is how long a process gets no calls after one failed there.
	failurePenalty = time.Second
	// urgentShare is the divisor of the number of processes that are always reserved for urgent calls: a call for another queue may take
	// twenty times as long.
	urgentShare = 8
	// urgentUse is the share of their time for which urgent calls keep the reserved processes busy; more are reserved if they would
	// exceed it. Calls come in groups, so that they wait for one another from about there on.
	urgentUse = 0.5
	// othersShare is the divisor of the number of processes that are left to other calls, however many urgent ones there are.
	othersShare = 4
	// lendingSize is the number of processes below which reserved ones are lent: one of them is a large part of what they can call then.
	lendingSize = 4
	// borrowAfter is the backlog of every other process from which on a reserved one makes calls that are not urgent.
	borrowAfter = 250 * time.Millisecond
	// maxBorrowBacklog is the backlog of a reserved process with which it still makes such a call.
	maxBorrowBacklog = 100 * time.Millisecond
	// waiterMemory is how long a step that found no process keeps those behind it from making calls. A step that waits is tried again
	// sooner than that.
	waiterMemory = 400 * time.Millisecond
	// urgentMemory is how long after an urgent call further ones are expected.
	urgentMemory = 2 * time.Second
)

// Dispatcher decides through which process each call to the permit service is made. The service handles the calls of a process one at a
// time, in turn, so a call waits for those before it. Some processes are reserved for urgent calls, which must not wait behind calls that
// take long; in a burst of urgent calls more of them are. If few processes are left and the others have a backlog, a reserved one makes such a call too, and is then free for urgent
// ones for as long as the call took. Calls that are not urgent are made in the order of the steps that need them. It is not safe for
// concurrent use.
type Dispatcher struct {
	self       ident.ProcessID
	queues     map[ident.ProcessID]*callQueue
	lastUrgent time.Time // when the last urgent call began
	urgent     urgentLoad
	waiter     waiter
}

// urgentLoad is how many processes the urgent calls of the last second keep busy.
type urgentLoad struct {
	busy float64
	at   time.Time
}

// urgentLoadWindow is the time in which the weight of a call falls to a third.
const urgentLoadWindow = time.Second

func (l *urgentLoad) add(duration time.Duration, now time.Time) {
	l.busy, l.at = l.current(now)+duration.Seconds()/urgentLoadWindow.Seconds(), now
}

func (l *urgentLoad) current(now time.Time) float64 {
	return l.busy * math.Exp(-now.Sub(l.at).Seconds()/urgentLoadWindow.Seconds())
}

// waiter is the first in order of the steps that found no process for a call. The zero value is none.
type waiter struct {
	position placement.Position
	at       time.Time // when it was last tried
}

// callQueue holds the calls in progress of one process.
type callQueue struct {
	busyUntil  time.Time
	inProgress int
	lentUntil  time.Time // a reserved process makes no further call that is not urgent before
}

// NewDispatcher returns a dispatcher for a leader, which makes calls itself if other processes have no shorter backlog.
func NewDispatcher(self ident.ProcessID) *Dispatcher {
	return &Dispatcher{self: self, queues: map[ident.ProcessID]*callQueue{}}
}

// Slot is a process through which a call can be made.
type Slot struct {
	Process  ident.ProcessID
	Wait     time.Duration // for the calls before it
	borrowed bool          // the process is reserved for urgent calls
}

// Next returns the process for the next call for a step, and false if the call would wait too long everywhere, or a step that precedes it
// waits for a process. The peers are the other processes in reach, in a fixed order. If there are none, the leader's own counts as
// reserved.
func (d *Dispatcher) Next(peers []ident.ProcessID, step *placement.Position, urgent bool, now time.Time) (Slot, bool) {
	if urgent {
		slot := d.leastBusy(peers, now)
		return slot, slot.Wait <= maxUrgentBacklog
	}
	w := &d.waiter
	if now.Sub(w.at) <= waiterMemory && w.position.Ref != step.Ref && w.position.Compare(step) < 0 {
		return Slot{}, false
	}
	slot, ok := d.slotForOthers(peers, now)
	if ok {
		if w.position.Ref == step.Ref {
			*w = waiter{}
		}
	} else {
		*w = waiter{*step, now}
	}
	return slot, ok
}

// Waiter returns the step that goes first when a process can make a call again, and false if there is none.
func (d *Dispatcher) Waiter() (workflow.StepRef, bool) {
	return d.waiter.position.Ref, !d.waiter.at.IsZero()
}

// slotForOthers returns the process for a call that is not urgent, and false if the call would wait too long everywhere.
func (d *Dispatcher) slotForOthers(peers []ident.ProcessID, now time.Time) (Slot, bool) {
	if len(peers) == 0 {
		process, ok := d.lendable([]ident.ProcessID{d.self}, now)
		return Slot{process, d.backlog(process, now), true}, ok
	}
	reserved := d.reserved(len(peers), now)
	slot := d.leastBusy(peers[reserved:], now)
	if slot.Wait > borrowAfter && len(peers)+1 < lendingSize {
		if process, ok := d.lendable(peers[:reserved], now); ok {
			return Slot{process, d.backlog(process, now), true}, true
		}
	}
	return slot, slot.Wait <= maxBacklog
}

// reserved returns how many of a number of processes make urgent calls only: more than usual as far as the urgent calls of the last second
// need them.
func (d *Dispatcher) reserved(processes int, now time.Time) int {
	usual := (processes + urgentShare - 1) / urgentShare
	needed := int(math.Ceil(d.urgent.current(now) / urgentUse))
	return max(usual, min(needed, processes-processes/othersShare))
}

// leastBusy returns the process with the shortest backlog. Among equals the leader comes last, because it has other work.
func (d *Dispatcher) leastBusy(peers []ident.ProcessID, now time.Time) Slot {
	best := Slot{Process: d.self, Wait: d.backlog(d.self, now)}
	for _, peer := range peers {
		if wait := d.backlog(peer, now); wait < best.Wait || wait == best.Wait && best.Process == d.self {
			best = Slot{Process: peer, Wait: wait}
		}
	}
	return best
}

// lendable returns a reserved process that can make a call that is not urgent now.
func (d *Dispatcher) lendable(reserved []ident.ProcessID, now time.Time) (ident.ProcessID, bool) {
	for _, process := range reserved {
		q := d.queues[process]
		if q == nil || d.backlog(process, now) <= maxBorrowBacklog && !now.Before(q.lentUntil) {
			return process, true
		}
	}
	return "", false
}

// backlog returns how long a further call through a process would wait for those in progress.
func (d *Dispatcher) backlog(process ident.ProcessID, now time.Time) time.Duration {
	q := d.queues[process]
	if q == nil {
		return 0
	}
	backlog := max(q.busyUntil.Sub(now), 0)
	if q.inProgress >= maxCallsInProgress {
		return max(backlog, 2*maxUrgentBacklog)
	}
	return backlog
}

func (d *Dispatcher) queue(process ident.ProcessID) *callQueue {
	q := d.queues[process]
	if q == nil {
		q = &callQueue{}
		d.queues[process] = q
	}
	return q
}

// Begin records that a call of the given duration, without its wait, is made through the process of a slot.
func (d *Dispatcher) Begin(slot Slot, urgent bool, duration time.Duration, now time.Time) {
	q := d.queue(slot.Process)
	q.busyUntil = now.Add(slot.Wait + duration)
	q.inProgress++
	switch {
	case urgent:
		d.lastUrgent = now
		d.urgent.add(duration, now)
	case slot.borrowed && now.Sub(d.lastUrgent) < urgentMemory:
		q.lentUntil = q.busyUntil.Add(duration)
	}
}

// End records that a call through a process has ended. After a failure the process gets no calls for a while; others may still be in
// progress there.
func (d *Dispatcher) End(process ident.ProcessID, failed bool, now time.Time) {
	q := d.queue(process)
	q.inProgress--
	if until := now.Add(failurePenalty); failed && until.After(q.busyUntil) {
		q.busyUntil = until
	}
	if q.inProgress == 0 && q.busyUntil.Before(now) && q.lentUntil.Before(now) {
		delete(d.queues, process)
	}
}
