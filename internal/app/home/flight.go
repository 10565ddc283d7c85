package home

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
)

const (
	// maxStopBatch is the maximum number of tasks in one call to an owner. Even with ids of the maximum length the call
	// stays below the maximum size of a peer message.
	maxStopBatch = 4096
	// stopTimeout bounds one such call, within which the owner stops the tasks that run on its workers.
	stopTimeout = 10 * time.Second
	// stopRetryPause is the mean pause before a batch is sent again.
	stopRetryPause = 200 * time.Millisecond
)

// inFlightTask is a task for which this home is placing or following an attempt.
type inFlightTask struct {
	owner    ident.ProcessID // empty until an owner is chosen
	canceled bool
}

// stopRequest is a request to stop a task in flight.
type stopRequest struct {
	task     ident.TaskID
	inFlight *inFlightTask
}

// trackTask registers a task as in flight. Each call must be paired with a call of untrackTask.
func (p *partition) trackTask(task ident.TaskID) *inFlightTask {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := &inFlightTask{}
	p.inFlight[task] = f
	return f
}

// untrackTask removes a task from those in flight, unless f has been replaced by a later attempt of the task.
func (p *partition) untrackTask(task ident.TaskID, f *inFlightTask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[task] == f {
		delete(p.inFlight, task)
	}
}

// assignOwner sets the owner at which a task is about to be placed. It fails with Canceled if the task was canceled
// before.
func (p *partition) assignOwner(task ident.TaskID, owner ident.ProcessID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.inFlight[task]
	if !ok {
		return nil
	}
	if f.canceled {
		return fault.New(fault.Canceled, "task %s was canceled before it started", task)
	}
	f.owner = owner
	return nil
}

// reassignOwner sets the owner that holds the task's attempt, and stops the task there if it was canceled before.
func (p *partition) reassignOwner(task ident.TaskID, owner ident.ProcessID) {
	p.mu.Lock()
	f, ok := p.inFlight[task]
	canceled := ok && f.canceled
	if ok {
		f.owner = owner
	}
	p.mu.Unlock()
	if canceled {
		p.service.requestStop(owner, []stopRequest{{task, f}})
	}
}

// isInFlight reports whether the task is in flight.
func (p *partition) isInFlight(task ident.TaskID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight[task] != nil
}

// isInFlightAt reports whether the attempt to be stopped is still in flight at the owner.
func (p *partition) isInFlightAt(s stopRequest, owner ident.ProcessID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight[s.task] == s.inFlight && s.inFlight.owner == owner
}

// cancelTasks cancels tasks in flight: those at an owner are stopped there, and the others are not placed any more.
func (p *partition) cancelTasks(tasks []ident.TaskID) {
	byOwner := map[ident.ProcessID][]stopRequest{}
	p.mu.Lock()
	for _, task := range tasks {
		f, ok := p.inFlight[task]
		if !ok {
			continue
		}
		f.canceled = true
		if f.owner != "" {
			byOwner[f.owner] = append(byOwner[f.owner], stopRequest{task, f})
		}
	}
	p.mu.Unlock()
	for owner, stops := range byOwner {
		p.service.requestStop(owner, stops)
	}
}

// requestStop queues tasks to be stopped by an owner. Requests that arrive during a call to the owner are sent together
// in the next call, so that a burst of cancellations takes few calls.
func (s *Service) requestStop(owner ident.ProcessID, stops []stopRequest) {
	s.mu.Lock()
	queued, sending := s.stops[owner]
	s.stops[owner] = append(queued, stops...)
	s.mu.Unlock()
	if !sending {
		go s.sendStops(owner)
	}
}

// sendStops sends the queued stop requests of an owner until the queue is empty.
func (s *Service) sendStops(owner ident.ProcessID) {
	for {
		batch := s.nextStopBatch(owner)
		if len(batch) == 0 {
			return
		}
		unconfirmed := s.sendStopBatch(owner, batch)
		if len(unconfirmed) == 0 {
			continue
		}
		pause.For(context.Background(), pause.Jitter(stopRetryPause, string(s.Self)+string(owner)))
		s.requeueStops(owner, unconfirmed)
	}
}

// sendStopBatch sends one call and returns the requests that must be sent again: all of them if the call failed,
// otherwise those whose tasks the owner does not hold, because the call may have overtaken their placement.
func (s *Service) sendStopBatch(owner ident.ProcessID, batch []stopRequest) []stopRequest {
	byTask := make(map[ident.TaskID]stopRequest, len(batch))
	tasks := make([]ident.TaskID, len(batch))
	for i, item := range batch {
		byTask[item.task], tasks[i] = item, item.task
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	missing, err := s.Peers.Cancel(ctx, owner, tasks)
	if err != nil {
		s.Log.Info("could not stop tasks", "owner", owner, "tasks", len(batch), "error", err)
		return batch
	}
	var unconfirmed []stopRequest
	for _, task := range missing {
		if item, ok := byTask[task]; ok {
			unconfirmed = append(unconfirmed, item)
		}
	}
	return unconfirmed
}

// nextStopBatch removes the next batch from the queue of the owner. If the queue is empty, it returns nil and removes
// the key, so that the next requestStop starts a new goroutine.
func (s *Service) nextStopBatch(owner ident.ProcessID) []stopRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued := s.stops[owner]
	if len(queued) == 0 {
		delete(s.stops, owner)
		return nil
	}
	n := min(len(queued), maxStopBatch)
	s.stops[owner] = queued[n:]
	return queued[:n]
}

// requeueStops queues those requests again whose attempts are still in flight at the owner.
func (s *Service) requeueStops(owner ident.ProcessID, stops []stopRequest) {
	var remaining []stopRequest
	for _, item := range stops {
		if s.partitions[item.task.Work.Partition()].isInFlightAt(item, owner) {
			remaining = append(remaining, item)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops[owner] = append(s.stops[owner], remaining...)
}
