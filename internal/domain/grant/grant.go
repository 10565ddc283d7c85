// Package grant holds the worker's side of its control lease: which process may give it commands, which starts it
// admits, and when running tasks must stop. The worker is the sole arbiter of the lease, so two processes that both
// believe they own the worker cannot both place tasks on it.
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

// WorkerState is the aggregate of one worker: its control lease, its running tasks and the outcomes not yet
// acknowledged.
type WorkerState struct {
	mu        sync.Mutex
	capacity  resource.Vector
	zone      ident.Zone
	rack      ident.Rack
	holder    ident.ProcessID // empty when nobody holds the lease
	epoch     ident.Epoch     // highest epoch granted
	renewedAt time.Time
	lease     time.Duration
	taskLease time.Duration
	draining  bool
	running   map[ident.TaskID]work.StartRequest
	startedAt map[ident.TaskID]time.Time
	history   *attemptHistory
	outcomes  []sequencedOutcome
	sequence  uint64
}

type sequencedOutcome struct {
	sequence uint64
	outcome  work.Outcome
}

// New returns the state of a worker that no process has claimed.
func New(capacity resource.Vector, zone ident.Zone, rack ident.Rack) *WorkerState {
	return &WorkerState{
		capacity: capacity, zone: zone, rack: rack,
		running:   map[ident.TaskID]work.StartRequest{},
		startedAt: map[ident.TaskID]time.Time{},
		history:   newAttemptHistory(),
	}
}

// Claim grants the control lease, or fails with StaleEpoch. The inventory of a refusal contains only the highest epoch
// granted and the holder.
func (s *WorkerState) Claim(now time.Time, claim work.ClaimRequest) (work.Inventory, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if claim.Epoch <= s.epoch {
		return s.refusalInventory(now), fault.New(fault.StaleEpoch,
			"claim with epoch %d refused: epoch %d was granted before", claim.Epoch, s.epoch)
	}
	if s.leaseHeld(now) && s.holder != claim.Process && !claim.Supersede {
		return s.refusalInventory(now), fault.New(fault.StaleEpoch, "control lease held by %s", s.holder)
	}
	s.holder, s.epoch, s.renewedAt = claim.Process, claim.Epoch, now
	s.lease, s.taskLease = claim.Lease, claim.TaskLease
	return s.inventory(now), nil
}

func (s *WorkerState) refusalInventory(now time.Time) work.Inventory {
	inv := work.Inventory{Epoch: s.epoch}
	if s.leaseHeld(now) {
		inv.Holder = s.holder
	}
	return inv
}

func (s *WorkerState) leaseHeld(now time.Time) bool {
	return s.holder != "" && now.Before(s.renewedAt.Add(s.lease))
}

func (s *WorkerState) inventory(now time.Time) work.Inventory {
	inv := work.Inventory{
		Epoch: s.epoch, Holder: s.holder, Capacity: s.capacity, Zone: s.zone, Rack: s.rack, Draining: s.draining,
		LastOutcome: s.sequence,
	}
	for id, start := range s.running {
		inv.Running = append(inv.Running, work.RunningAttempt{
			Task: id, Attempt: start.Attempt, Kind: start.Kind, Class: start.Class, Size: start.Size,
			RunningFor: now.Sub(s.startedAt[id]),
		})
	}
	sort.Slice(inv.Running, func(i, j int) bool {
		return inv.Running[i].Task.String() < inv.Running[j].Task.String()
	})
	for _, n := range s.outcomes {
		inv.Outcomes = append(inv.Outcomes, n.outcome)
	}
	return inv
}

// checkEpoch fails with StaleEpoch unless the epoch holds the control lease. Once the task lease has expired no epoch
// does: other processes then assume that nothing runs here, and a start message delayed that long must not change this.
func (s *WorkerState) checkEpoch(now time.Time, epoch ident.Epoch) error {
	if s.taskLeaseExpired(now) {
		return fault.New(fault.StaleEpoch,
			"task lease expired: the control lease of epoch %d was not renewed in time", s.epoch)
	}
	if epoch != s.epoch || s.holder == "" {
		return fault.New(fault.StaleEpoch, "epoch %d does not hold the control lease; the last epoch granted is %d",
			epoch, s.epoch)
	}
	return nil
}

// Sync renews the control lease, removes acknowledged outcomes and returns those after the given sequence number.
func (s *WorkerState) Sync(now time.Time, sync work.SyncRequest) (work.SyncReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkEpoch(now, sync.Epoch); err != nil {
		return work.SyncReply{}, err
	}
	s.renewedAt = now
	s.acknowledge(sync.Acknowledge)
	reply := work.SyncReply{LastOutcome: sync.AfterOutcome, Draining: s.draining}
	for _, n := range s.outcomes {
		if n.sequence > sync.AfterOutcome {
			reply.Outcomes = append(reply.Outcomes, n.outcome)
			reply.LastOutcome = n.sequence
		}
	}
	return reply, nil
}

func (s *WorkerState) acknowledge(attempts []work.AttemptID) {
	if len(attempts) == 0 {
		return
	}
	done := make(map[work.AttemptID]bool, len(attempts))
	for _, id := range attempts {
		done[id] = true
	}
	kept := s.outcomes[:0]
	for _, n := range s.outcomes {
		if !done[n.outcome.ID()] {
			kept = append(kept, n)
		}
	}
	s.outcomes = kept
}

// Release ends the control lease, so that any process may claim the worker at once.
func (s *WorkerState) Release(now time.Time, epoch ident.Epoch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkEpoch(now, epoch); err != nil {
		return err
	}
	s.holder = ""
	return nil
}

// Start admits an attempt. It returns false if the same attempt was admitted before. An attempt that was refused once
// stays refused: its owner may have placed it elsewhere, and a duplicate of the start message may arrive late. sent is
// when the message was sent, as estimated by the worker's clock.
func (s *WorkerState) Start(now, sent time.Time, start work.StartRequest) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkEpoch(now, start.Epoch); err != nil {
		return false, err
	}
	if admitted, err := s.history.previousResult(start); admitted || err != nil {
		return false, err
	}
	err := s.admit(now, sent, start)
	s.history.record(now, start, err)
	if err != nil {
		return false, err
	}
	s.running[start.Task] = start
	s.startedAt[start.Task] = now
	return true, nil
}

func (s *WorkerState) admit(now, sent time.Time, start work.StartRequest) error {
	if _, ok := s.running[start.Task]; ok {
		return fault.New(fault.Conflict, "an earlier attempt of %s is running", start.Task)
	}
	if s.draining {
		return fault.New(fault.Draining, "the worker is draining")
	}
	if start.TTL > 0 && now.Sub(sent) > start.TTL {
		return fault.New(fault.DeadlineExceeded, "the start message of %s expired: sent %v ago; valid for %v",
			start.Task, now.Sub(sent), start.TTL)
	}
	if free := s.capacity.Sub(s.used()); !start.Size.Fits(free) {
		return fault.New(fault.NoCapacity, "%s needs %s; free: %s", start.Task, start.Size, free)
	}
	return nil
}

func (s *WorkerState) used() resource.Vector {
	var sum resource.Vector
	for _, start := range s.running {
		sum = sum.Add(start.Size)
	}
	return sum
}

// Finish records the outcome of a running attempt. It returns false if the attempt is not running.
func (s *WorkerState) Finish(outcome work.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finish(outcome)
}

func (s *WorkerState) finish(outcome work.Outcome) bool {
	start, ok := s.running[outcome.Task]
	if !ok || start.Attempt != outcome.Attempt {
		return false
	}
	delete(s.running, outcome.Task)
	delete(s.startedAt, outcome.Task)
	s.sequence++
	s.outcomes = append(s.outcomes, sequencedOutcome{s.sequence, outcome})
	return true
}

// Stop ends a running task with an outcome that reports the stop. It returns the stopped attempt, or 0 if the task is
// not running.
func (s *WorkerState) Stop(now time.Time, epoch ident.Epoch, task ident.TaskID) (ident.Attempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkEpoch(now, epoch); err != nil {
		return 0, err
	}
	start, ok := s.running[task]
	if !ok {
		return 0, nil
	}
	s.finish(work.Outcome{Task: task, Attempt: start.Attempt, Message: work.StoppedMessage})
	return start.Attempt, nil
}

// ExpireTasks stops all tasks if the task lease has expired, and returns them.
func (s *WorkerState) ExpireTasks(now time.Time) []ident.TaskID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.taskLeaseExpired(now) {
		return nil
	}
	var stopped []ident.TaskID
	for id, start := range s.running {
		stopped = append(stopped, id)
		s.finish(work.Outcome{Task: id, Attempt: start.Attempt, Message: work.LeaseExpiredMessage})
	}
	sort.Slice(stopped, func(i, j int) bool { return stopped[i].String() < stopped[j].String() })
	return stopped
}

// taskLeaseExpired reports whether the control lease was not renewed for the duration of the task lease.
func (s *WorkerState) taskLeaseExpired(now time.Time) bool {
	return s.taskLease != 0 && !now.Before(s.renewedAt.Add(s.taskLease))
}

// Drain makes the worker refuse new tasks.
func (s *WorkerState) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Epoch returns the highest epoch granted.
func (s *WorkerState) Epoch() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// RememberedAttempts returns the number of tasks in the attempt history.
func (s *WorkerState) RememberedAttempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.history.last)
}
