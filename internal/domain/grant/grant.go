// Package grant holds the rules that a worker applies to the commands of entry processes: who may command it, what
// fits, and when running tasks must stop. The worker is the arbiter of its own control lease, so two processes that
// both believe that they own it cannot both place work on it.
package grant

import (
	"sort"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
)

// WorkerState is the aggregate of one worker: its control lease, running tasks and outcomes not yet acknowledged.
type WorkerState struct {
	mu        sync.Mutex
	capacity  resource.Vector
	zone      ident.Zone
	rack      ident.Rack
	holder    ident.ProcessID // empty when released
	epoch     ident.Epoch     // highest epoch granted
	renewed   time.Time
	lease     time.Duration
	taskLease time.Duration
	draining  bool
	running   map[ident.TaskID]work.Start
	started   map[ident.TaskID]time.Time
	seen      *attempts
	outcomes  []numbered
	sequence  uint64
}

type numbered struct {
	sequence uint64
	outcome  work.Outcome
}

// New returns the grant of a worker that nobody has claimed.
func New(capacity resource.Vector, zone ident.Zone, rack ident.Rack) *WorkerState {
	return &WorkerState{
		capacity: capacity, zone: zone, rack: rack,
		running: map[ident.TaskID]work.Start{},
		started: map[ident.TaskID]time.Time{},
		seen:    newAttempts(),
	}
}

// Claim grants the control lease or refuses with StaleEpoch. A refusal's inventory has only the highest
// epoch granted and the holder.
func (g *WorkerState) Claim(now time.Time, claim work.Claim) (work.Inventory, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if claim.Epoch <= g.epoch {
		return g.refusal(now), fault.New(fault.StaleEpoch,
			"claim with epoch %d; epoch %d was granted before", claim.Epoch, g.epoch)
	}
	if g.held(now) && g.holder != claim.Process && !claim.Supersede {
		return g.refusal(now), fault.New(fault.StaleEpoch, "control lease held by %s", g.holder)
	}
	g.holder, g.epoch, g.renewed = claim.Process, claim.Epoch, now
	g.lease, g.taskLease = claim.Lease, claim.TaskLease
	return g.inventory(now), nil
}

func (g *WorkerState) refusal(now time.Time) work.Inventory {
	inv := work.Inventory{Epoch: g.epoch}
	if g.held(now) {
		inv.Holder = g.holder
	}
	return inv
}

func (g *WorkerState) held(now time.Time) bool {
	return g.holder != "" && now.Before(g.renewed.Add(g.lease))
}

func (g *WorkerState) inventory(now time.Time) work.Inventory {
	inv := work.Inventory{
		Epoch: g.epoch, Holder: g.holder, Capacity: g.capacity, Zone: g.zone, Rack: g.rack, Draining: g.draining,
		Last: g.sequence,
	}
	for id, start := range g.running {
		inv.Running = append(inv.Running, work.Running{
			Task: id, Attempt: start.Attempt, Kind: start.Kind, Class: start.Class, Size: start.Size,
			Started: now.Sub(g.started[id]),
		})
	}
	sort.Slice(inv.Running, func(i, j int) bool {
		return inv.Running[i].Task.String() < inv.Running[j].Task.String()
	})
	for _, n := range g.outcomes {
		inv.Outcomes = append(inv.Outcomes, n.outcome)
	}
	return inv
}

// check refuses an epoch that does not hold the control lease. Once the task lease has lapsed nobody does: others
// take it that nothing runs here then, and a start that was on its way for that long must not change it.
func (g *WorkerState) check(now time.Time, epoch ident.Epoch) error {
	if g.lapsed(now) {
		return fault.New(fault.StaleEpoch, "nobody renewed the control lease of epoch %d in time", g.epoch)
	}
	if epoch != g.epoch || g.holder == "" {
		return fault.New(fault.StaleEpoch, "epoch %d does not hold the control lease; epoch %d was granted last",
			epoch, g.epoch)
	}
	return nil
}

// Sync renews the control lease, forgets acknowledged outcomes and returns those after the sequence.
func (g *WorkerState) Sync(now time.Time, sync work.Sync) (work.SyncReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(now, sync.Epoch); err != nil {
		return work.SyncReply{}, err
	}
	g.renewed = now
	g.acknowledge(sync.Acknowledge)
	reply := work.SyncReply{Last: sync.After, Draining: g.draining}
	for _, n := range g.outcomes {
		if n.sequence > sync.After {
			reply.Outcomes = append(reply.Outcomes, n.outcome)
			reply.Last = n.sequence
		}
	}
	return reply, nil
}

func (g *WorkerState) acknowledge(attempts []work.AttemptID) {
	if len(attempts) == 0 {
		return
	}
	done := make(map[work.AttemptID]bool, len(attempts))
	for _, id := range attempts {
		done[id] = true
	}
	kept := g.outcomes[:0]
	for _, n := range g.outcomes {
		if !done[n.outcome.ID()] {
			kept = append(kept, n)
		}
	}
	g.outcomes = kept
}

// Release gives the control lease back, so that any process may claim it at once.
func (g *WorkerState) Release(now time.Time, epoch ident.Epoch) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(now, epoch); err != nil {
		return err
	}
	g.holder = ""
	return nil
}

// Start admits an attempt. It returns false if the same attempt was admitted before. An attempt that was refused once
// stays refused: its owner may have placed it elsewhere, and a copy of the start may arrive late. sent is when the
// start was sent, by the worker's clock as far as it can tell.
func (g *WorkerState) Start(now, sent time.Time, start work.Start) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(now, start.Epoch); err != nil {
		return false, err
	}
	if known, err := g.seen.answer(start); known || err != nil {
		return false, err
	}
	err := g.admit(now, sent, start)
	g.seen.note(now, start, err)
	if err != nil {
		return false, err
	}
	g.running[start.Task] = start
	g.started[start.Task] = now
	return true, nil
}

func (g *WorkerState) admit(now, sent time.Time, start work.Start) error {
	if _, ok := g.running[start.Task]; ok {
		return fault.New(fault.Conflict, "%s runs with an earlier attempt", start.Task)
	}
	if g.draining {
		return fault.New(fault.Draining, "the worker is leaving")
	}
	if start.Expiry > 0 && now.Sub(sent) > start.Expiry {
		return fault.New(fault.DeadlineExceeded, "the start of %s expired", start.Task)
	}
	if free := g.capacity.Sub(g.used()); !start.Size.Fits(free) {
		return fault.New(fault.NoCapacity, "%s needs %s; free: %s", start.Task, start.Size, free)
	}
	return nil
}

func (g *WorkerState) used() resource.Vector {
	var sum resource.Vector
	for _, start := range g.running {
		sum = sum.Add(start.Size)
	}
	return sum
}

// Finish records the outcome of a running attempt. It returns false if that attempt does not run.
func (g *WorkerState) Finish(outcome work.Outcome) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.finish(outcome)
}

func (g *WorkerState) finish(outcome work.Outcome) bool {
	start, ok := g.running[outcome.Task]
	if !ok || start.Attempt != outcome.Attempt {
		return false
	}
	delete(g.running, outcome.Task)
	delete(g.started, outcome.Task)
	g.sequence++
	g.outcomes = append(g.outcomes, numbered{g.sequence, outcome})
	return true
}

// Stop ends a running task, with an outcome that says so. It returns the attempt stopped, or 0 if the task does not
// run.
func (g *WorkerState) Stop(now time.Time, epoch ident.Epoch, task ident.TaskID) (ident.Attempt, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(now, epoch); err != nil {
		return 0, err
	}
	start, ok := g.running[task]
	if !ok {
		return 0, nil
	}
	g.finish(work.Outcome{Task: task, Attempt: start.Attempt, Message: work.StoppedMessage})
	return start.Attempt, nil
}

// ExpireTasks stops every task when nobody renewed the control lease for the task lease, and returns the tasks stopped.
func (g *WorkerState) ExpireTasks(now time.Time) []ident.TaskID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lapsed(now) {
		return nil
	}
	var stopped []ident.TaskID
	for id, start := range g.running {
		stopped = append(stopped, id)
		g.finish(work.Outcome{Task: id, Attempt: start.Attempt, Message: work.LeaseExpiredMessage})
	}
	sort.Slice(stopped, func(i, j int) bool { return stopped[i].String() < stopped[j].String() })
	return stopped
}

// lapsed reports whether nobody renewed the control lease for the task lease.
func (g *WorkerState) lapsed(now time.Time) bool {
	return g.taskLease != 0 && !now.Before(g.renewed.Add(g.taskLease))
}

// Drain makes the worker refuse further starts.
func (g *WorkerState) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Epoch returns the highest epoch granted.
func (g *WorkerState) Epoch() ident.Epoch {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

// RememberedAttempts returns the number of tasks whose last attempt is remembered.
func (g *WorkerState) RememberedAttempts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.seen.last)
}
