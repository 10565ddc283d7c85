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
	// recordedCancels is the most cancellations of one call that get an event each. A burst gets one event, so that
	// it does not push everything else out of the ring.
	recordedCancels = 16
)

func canceledBefore(task ident.TaskID) error {
	return fault.New(fault.Canceled, "%s was canceled before it started", task)
}

// HandleCancel stops tasks that wait or run here and returns those that it does not hold. A task whose start is in
// flight is stopped once the worker has confirmed it. The cost grows linearly with the number of tasks: one pass over
// the queue for all that wait, and one stop for each that runs, on all workers at the same time.
func (s *Service) HandleCancel(ctx context.Context, tasks []ident.TaskID) ([]ident.TaskID, error) {
	s.recordCancels(tasks)
	var missing, waiting []ident.TaskID
	running := map[ident.WorkerID][]*attempt{}
	for _, task := range tasks {
		a := s.held(task)
		if a == nil || a.isEnded() {
			missing = append(missing, task)
			continue
		}
		if worker := a.cancel(); worker != "" {
			running[worker] = append(running[worker], a)
		} else {
			waiting = append(waiting, task)
		}
	}
	for _, task := range s.fleet.CancelAll(waiting) {
		if a := s.held(task); a != nil {
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

// stopAll stops the tasks of each worker in a goroutine of its own and returns one of the errors.
func (s *Service) stopAll(ctx context.Context, byWorker map[ident.WorkerID][]*attempt) error {
	var stopping sync.WaitGroup
	errs := make(chan error, len(byWorker))
	for worker, attempts := range byWorker {
		stopping.Go(func() { errs <- s.stopAttempts(ctx, worker, attempts) })
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

// stopAttempts stops attempts on the worker, each once its start was confirmed: a stop that overtakes the start would
// stop nothing. Their outcomes arrive with the worker's next sync.
func (s *Service) stopAttempts(ctx context.Context, worker ident.WorkerID, attempts []*attempt) error {
	k, err := s.keeper(worker)
	if err != nil {
		return err
	}
	for _, a := range attempts {
		select {
		case <-a.done:
			continue
		case <-a.started:
		case <-ctx.Done():
			return fault.WrapAs(fault.Interrupted, ctx.Err(), "cancel")
		}
		if err := s.stopTask(ctx, k, a.id.Task); err != nil {
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
