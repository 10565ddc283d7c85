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
	// reportTimeout bounds a report to one home.
	reportTimeout = 2 * time.Second
	// reportRetry is the mean pause after a report that a home did not take.
	reportRetry = 250 * time.Millisecond
)

// reporter is the goroutine that tells homes of attempts that no call waits for, until the homes have taken the
// reports.
type reporter struct {
	service *Service
	added   notify.Broadcast

	mu      sync.Mutex
	waiting map[work.AttemptID]work.Outcome
}

func newReporter(s *Service) *reporter {
	return &reporter{service: s, waiting: map[work.AttemptID]work.Outcome{}}
}

func (r *reporter) add(outcome work.Outcome) {
	r.mu.Lock()
	r.waiting[outcome.ID()] = outcome
	r.mu.Unlock()
	r.added.Signal()
}

// Run reports until the context ends.
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

// byHome groups what waits by the processes that are the homes now.
func (r *reporter) byHome() map[ident.ProcessID][]work.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	batches := map[ident.ProcessID][]work.Outcome{}
	for _, outcome := range r.waiting {
		home := r.service.Membership.Home(outcome.Task.Work.Partition())
		batches[home] = append(batches[home], outcome)
	}
	return batches
}

// send reports to every home at once, so that a silent one does not hold up the others. It returns false if a home did
// not take its report.
func (r *reporter) send(ctx context.Context, batches map[ident.ProcessID][]work.Outcome) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	results := make(chan bool, len(batches))
	for home, outcomes := range batches {
		go func() { results <- r.report(ctx, home, outcomes) }()
	}
	all := true
	for range batches {
		taken := <-results
		all = all && taken
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
		delete(r.waiting, outcome.ID())
	}
	r.mu.Unlock()
	return true // the home settles the outcomes once they are recorded, or when it has no use for them
}
