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
	// maxStopTries is how often the stop of a task is sent while its response is lost. After that the home sends the
	// cancellation again.
	maxStopTries = 3
	// maxCancelEvents is the largest number of cancellations in one call that are recorded as an event each. More are
	// recorded as a single event, so that they do not displace all others from the ring buffer.
	maxCancelEvents = 16
)

func canceledBeforeStart(task ident.TaskID) error {
	return fault.New(fault.Canceled, "%s was canceled before it started", task)
}

// HandleCancel cancels tasks that are queued or running here and returns those that this process does not hold. A task
// whose start is in flight is stopped once the worker has confirmed it. The cost is linear in the number of tasks: one
// pass over the queue for all queued ones, and one stop for each running one, with all workers called in parallel.
func (s *Service) HandleCancel(ctx context.Context, tasks []ident.TaskID) ([]ident.TaskID, error) {
	s.recordCancels(tasks)
	var missing, queued []ident.TaskID
	running := map[ident.WorkerID][]*attempt{}
	for _, task := range tasks {
		a := s.findAttempt(task)
		if a == nil || a.isEnded() {
			missing = append(missing, task)
			continue
		}
		if worker := a.cancel(); worker != "" {
			running[worker] = append(running[worker], a)
		} else {
			queued = append(queued, task)
		}
	}
	for _, task := range s.fleet.CancelAll(queued) {
		if a := s.findAttempt(task); a != nil {
			s.finish(a, work.Outcome{}, canceledBeforeStart(task))
		}
	}
	return missing, s.stopAll(ctx, running)
}

func (s *Service) recordCancels(tasks []ident.TaskID) {
	if len(tasks) > maxCancelEvents {
		s.recordEvent(timeline.CancelRequested, ident.TaskID{}, "", fmt.Sprintf("%d tasks", len(tasks)))
		return
	}
	for _, task := range tasks {
		s.recordEvent(timeline.CancelRequested, task, "", "")
	}
}

// stopAll stops the tasks of each worker in a separate goroutine and returns one of the errors.
func (s *Service) stopAll(ctx context.Context, byWorker map[ident.WorkerID][]*attempt) error {
	var calls sync.WaitGroup
	errs := make(chan error, len(byWorker))
	for worker, attempts := range byWorker {
		calls.Go(func() { errs <- s.stopAttempts(ctx, worker, attempts) })
	}
	calls.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// stopAttempts stops attempts on the worker, each once its start was confirmed: a stop that overtakes the start would
// have no effect. Their outcomes arrive with the worker's next sync.
func (s *Service) stopAttempts(ctx context.Context, worker ident.WorkerID, attempts []*attempt) error {
	m, err := s.manager(worker)
	if err != nil {
		return err
	}
	for _, a := range attempts {
		select {
		case <-a.done:
			continue
		case <-a.started:
		case <-ctx.Done():
			return fault.WrapAs(fault.Interrupted, ctx.Err(), "wait for the start of a task that is to be stopped")
		}
		if err := s.stopTask(ctx, m, a.id.Task); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) stopTask(ctx context.Context, m *workerManager, task ident.TaskID) error {
	var err error
	for range maxStopTries {
		err = m.client.Stop(ctx, m.worker.Snapshot(time.Now()).Epoch, task)
		if err == nil {
			return nil
		}
		pause.For(ctx, startRetry)
	}
	return err
}
