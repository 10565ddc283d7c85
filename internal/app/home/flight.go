package home

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
)

const (
	// stopBatch is the most tasks in one call to an owner. With ids of the longest length it stays below the size of a
	// peer message.
	stopBatch = 4096
	// stopTimeout bounds one such call; the owner stops what runs on its workers within it.
	stopTimeout = 10 * time.Second
	// stopRetry is the mean pause after a call that failed.
	stopRetry = 200 * time.Millisecond
)

// flight is a task that this home has in flight: an owner was or will be asked to run it.
type flight struct {
	owner  ident.ProcessID // empty until an owner is chosen
	halted bool            // it was canceled
}

// stop is a flight to stop.
type stop struct {
	task   ident.TaskID
	flight *flight
}

// launch notes that a task is in flight. Every launch is followed by a land.
func (p *partition) launch(task ident.TaskID) *flight {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := &flight{}
	p.flights[task] = f
	return f
}

// land ends a flight. The next attempt of the task may be in flight already; it is left alone.
func (p *partition) land(task ident.TaskID, f *flight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flights[task] == f {
		delete(p.flights, task)
	}
}

// direct notes the owner that a task goes to. It fails with Canceled when the task was canceled before.
func (p *partition) direct(task ident.TaskID, owner ident.ProcessID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.flights[task]
	if !ok {
		return nil
	}
	if f.halted {
		return fault.New(fault.Canceled, "%s was canceled before it started", task)
	}
	f.owner = owner
	return nil
}

// redirect notes the owner that a running task is found at, and has it stopped there when it was canceled before.
func (p *partition) redirect(task ident.TaskID, owner ident.ProcessID) {
	p.mu.Lock()
	f, ok := p.flights[task]
	halted := ok && f.halted
	if ok {
		f.owner = owner
	}
	p.mu.Unlock()
	if halted {
		p.service.stop(owner, []stop{{task, f}})
	}
}

// inFlight reports whether the task is in flight.
func (p *partition) inFlight(task ident.TaskID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flights[task] != nil
}

// isAt reports whether the flight goes on at the owner.
func (p *partition) isAt(s stop, owner ident.ProcessID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flights[s.task] == s.flight && s.flight.owner == owner
}

// halt cancels tasks in flight: those at an owner are stopped there, the others do not go to one.
func (p *partition) halt(tasks []ident.TaskID) {
	byOwner := map[ident.ProcessID][]stop{}
	p.mu.Lock()
	for _, task := range tasks {
		f, ok := p.flights[task]
		if !ok {
			continue
		}
		f.halted = true
		if f.owner != "" {
			byOwner[f.owner] = append(byOwner[f.owner], stop{task, f})
		}
	}
	p.mu.Unlock()
	for owner, stops := range byOwner {
		p.service.stop(owner, stops)
	}
}

// stop asks an owner to stop tasks. What gathers while a call to the owner is under way goes into the next call, so
// that a burst of cancellations takes few calls.
func (s *Service) stop(owner ident.ProcessID, stops []stop) {
	s.mu.Lock()
	gathered, busy := s.stops[owner]
	s.stops[owner] = append(gathered, stops...)
	s.mu.Unlock()
	if !busy {
		go s.sendStops(owner)
	}
}

func (s *Service) sendStops(owner ident.ProcessID) {
	for {
		batch := s.nextStops(owner)
		if len(batch) == 0 {
			return
		}
		left := s.sendBatch(owner, batch)
		if len(left) == 0 {
			continue
		}
		pause.For(context.Background(), pause.Jitter(stopRetry, string(s.Self)+string(owner)))
		s.stopAgain(owner, left)
	}
}

// sendBatch sends one call and returns what must be sent again: all of it when the call failed, and otherwise what the
// owner does not hold, because the call may have overtaken the placement.
func (s *Service) sendBatch(owner ident.ProcessID, batch []stop) []stop {
	byTask := make(map[ident.TaskID]stop, len(batch))
	tasks := make([]ident.TaskID, len(batch))
	for i, item := range batch {
		byTask[item.task], tasks[i] = item, item.task
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	missing, err := s.Peers.Cancel(ctx, owner, tasks)
	if err != nil {
		s.Log.Info("tasks not stopped", "owner", owner, "tasks", len(batch), "error", err)
		return batch
	}
	var left []stop
	for _, task := range missing {
		if item, ok := byTask[task]; ok {
			left = append(left, item)
		}
	}
	return left
}

// nextStops returns what to send next. When it returns nothing, the next stop starts a goroutine of its own.
func (s *Service) nextStops(owner ident.ProcessID) []stop {
	s.mu.Lock()
	defer s.mu.Unlock()
	gathered := s.stops[owner]
	if len(gathered) == 0 {
		delete(s.stops, owner)
		return nil
	}
	n := min(len(gathered), stopBatch)
	s.stops[owner] = gathered[n:]
	return gathered[:n]
}

// stopAgain keeps the flights that go on at the owner for the next call.
func (s *Service) stopAgain(owner ident.ProcessID, stops []stop) {
	var left []stop
	for _, item := range stops {
		if s.partitions[item.task.Work.Partition()].isAt(item, owner) {
			left = append(left, item)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops[owner] = append(s.stops[owner], left...)
}
