package owner

import (
	"context"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

const (
	// reportTimeout limits a report to one home.
	reportTimeout = 2 * time.Second
	// reportRetry is the mean delay after a report that a home did not accept.
	reportRetry = 250 * time.Millisecond
)

// reporter sends the outcomes of attempts for which no call waits to their homes, until the homes have accepted them.
// It runs in its own goroutine.
type reporter struct {
	service *Service
	added   notify.Broadcast

	mu         sync.Mutex
	unreported map[work.AttemptID]work.Outcome
}

func newReporter(s *Service) *reporter {
	return &reporter{service: s, unreported: map[work.AttemptID]work.Outcome{}}
}

func (r *reporter) add(outcome work.Outcome) {
	r.mu.Lock()
	r.unreported[outcome.ID()] = outcome
	r.mu.Unlock()
	r.added.Signal()
}

// Run sends reports until the context ends.
func (r *reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		added := r.added.Changed()
		batches := r.byHome()
		if len(batches) == 0 {
			select {
			case <-added:
			case <-ctx.Done():
			}
			continue
		}
		if !r.send(ctx, batches) {
			pause.For(ctx, pause.Jitter(reportRetry, string(r.service.Self)))
		}
	}
}

// byHome groups the unreported outcomes by the processes that are their homes now.
func (r *reporter) byHome() map[ident.ProcessID][]work.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	batches := map[ident.ProcessID][]work.Outcome{}
	for _, outcome := range r.unreported {
		home := r.service.Membership.Home(outcome.Task.Work.Partition())
		batches[home] = append(batches[home], outcome)
	}
	return batches
}

// send reports to all homes in parallel, so that an unresponsive one does not delay the others. It returns false if a
// home did not accept its report.
func (r *reporter) send(ctx context.Context, batches map[ident.ProcessID][]work.Outcome) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	results := make(chan bool, len(batches))
	for home, outcomes := range batches {
		go func() { results <- r.report(ctx, home, outcomes) }()
	}
	all := true
	for range batches {
		accepted := <-results
		all = all && accepted
	}
	return all
}

func (r *reporter) report(ctx context.Context, home ident.ProcessID, outcomes []work.Outcome) bool {
	s := r.service
	err := s.Peers.Report(ctx, home, port.AttemptReport{Process: s.Self, Ended: outcomes})
	if err != nil {
		s.Log.Info("outcomes not reported", "outcomes", len(outcomes), "home", home, "error", err)
		return false
	}
	r.mu.Lock()
	for _, outcome := range outcomes {
		delete(r.unreported, outcome.ID())
	}
	r.mu.Unlock()
	return true // the home acknowledges the outcomes once they are recorded, or if it does not need them
}
