package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
)

const (
	// stopTries is how often the stop of a task is sent when its answer was lost. The home asks again after that.
	stopTries = 3
	// recordedCancels is the most cancellations of one call that get an event each. A burst gets one event, so that it does
	// not push everything else out of the ring.
	recordedCancels = 16
)

func canceledBefore(task ident.TaskID) error {
	return fault.New(fault.Canceled, "%s was canceled before it started", task)
}

// HandleCancel stops tasks that wait or run here and returns those that it does not hold. A task whose start is in flight is stopped
// by the goroutine that starts it. The cost grows linearly with the number of tasks: one pass over the queue for all that
// wait, and one stop for each that runs, on all workers at the same time.
func (s *Service) HandleCancel(ctx context.Context, tasks []ident.TaskID) ([]ident.TaskID, error) {
	s.recordCancels(tasks)
	var missing, waiting []ident.TaskID
	running := map[ident.WorkerID][]ident.TaskID{}
	for _, task := range tasks {
		a, ok := s.held(task)
		if !ok || a.isEnded() {
			missing = append(missing, task)
			continue
		}
		if worker, started := a.halt(); started {
			running[worker] = append(running[worker], task)
		} else {
			waiting = append(waiting, task)
		}
	}
	for _, task := range s.fleet.CancelAll(waiting) {
		if a, ok := s.held(task); ok {
			s.finish(a, work.Outcome{}, canceledBefore(task))
		}
	}
	return missing, s.stopAll(ctx, running)
}

func (s *Service) recordCancels(tasks []ident.TaskID) {
	if len(tasks) > recordedCancels {
		s.record(timeline.CancelRequested, ident.TaskID{}, "", fmt.Sprintf("%d tasks", len(tasks)))
		return
	}
	for _, task := range tasks {
		s.record(timeline.CancelRequested, task, "", "")
	}
}

func (s *Service) held(task ident.TaskID) (*attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.pending[task]
	return a, ok
}

// stopAll stops the tasks of each worker in a goroutine of its own and returns one of the errors.
func (s *Service) stopAll(ctx context.Context, byWorker map[ident.WorkerID][]ident.TaskID) error {
	var stopping sync.WaitGroup
	errs := make(chan error, len(byWorker))
	for worker, tasks := range byWorker {
		stopping.Go(func() { errs <- s.stopTasks(ctx, worker, tasks) })
	}
	stopping.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// stopTasks stops tasks that run on the worker. Their outcomes arrive with its next sync.
func (s *Service) stopTasks(ctx context.Context, worker ident.WorkerID, tasks []ident.TaskID) error {
	k, err := s.keeper(worker)
	if err != nil {
		return err
	}
	for _, task := range tasks {
		if err := s.stopTask(ctx, k, task); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) stopTask(ctx context.Context, k *keeper, task ident.TaskID) error {
	var err error
	for range stopTries {
		err = k.client.Stop(ctx, k.worker.Snapshot(time.Now()).Epoch, task)
		if err == nil {
			return nil
		}
		pause.For(ctx, startRetry)
	}
	return err
}

// stopHalted stops an attempt that was canceled while its start was in flight. It returns once the worker confirmed the
// stop or the attempt ended otherwise: the home was told that the attempt will be stopped.
func (s *Service) stopHalted(ctx context.Context, a *attempt, k *keeper) {
	for ctx.Err() == nil && !a.isEnded() {
		if err := s.stopTask(ctx, k, a.task); err == nil {
			return
		}
	}
}
