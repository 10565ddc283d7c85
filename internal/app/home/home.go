// Package home coordinates the partitions whose home is this process. The home of a partition deduplicates its
// requests, places the attempts of requests and jobs at the owners of workers, and follows each attempt until its
// outcome is known.
package home

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/routing"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Config holds the dependencies of a Service.
type Config struct {
	Self           ident.ProcessID
	Zone           ident.Zone
	Membership     *membership.Membership
	LiveChanged    func() <-chan struct{} // returns a channel closed at the next change of the live processes
	Heartbeats     func() []port.Heartbeat
	Digest         func(time.Time) fleet.Digest
	Directory      *directory.Directory
	Peers          port.Peers
	Journal        Journal
	Recorder       *timeline.Recorder
	Log            *slog.Logger
	RetryLimiter   *rate.Limiter // limits how often this process places a request again after a refused or failed attempt
	TaskLeaseBound time.Duration // after this time an attempt that no owner holds has certainly ended
}

// Service runs the partitions.
type Service struct {
	Config
	partitions [ident.PartitionCount]*partition

	mu    sync.Mutex
	stops map[ident.ProcessID][]stopRequest // queued stops by owner; the key exists while a goroutine sends to the owner
}

// New returns a Service that is not the home of any partition yet.
func New(config Config) *Service {
	s := &Service{Config: config, stops: map[ident.ProcessID][]stopRequest{}}
	for i := range s.partitions {
		s.partitions[i] = newPartition(s, ident.PartitionID(i))
	}
	return s
}

// Run runs one goroutine per partition until the context ends.
func (s *Service) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range s.partitions {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}

// Partitions returns the partitions whose home is this process.
func (s *Service) Partitions() []ident.PartitionID {
	var ids []ident.PartitionID
	for _, p := range s.partitions {
		if p.currentTerm() != nil {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// HandleExecute runs a request, or waits for it if it is already known, and returns its outcome.
func (s *Service) HandleExecute(ctx context.Context, call port.Execute) (work.Outcome, error) {
	p := s.partitions[call.Spec.ID.Work.Partition()]
	ctx, cancel := context.WithDeadline(ctx, call.Spec.Deadline)
	defer cancel()
	t, err := p.awaitTerm(ctx)
	if err != nil {
		return work.Outcome{}, err
	}
	return t.execute(ctx, call)
}

// HandleReport processes the outcomes of attempts that no call of this home waits for. It tells the owner to discard
// the outcomes that this home does not need.
func (s *Service) HandleReport(ctx context.Context, report port.AttemptReport) error {
	var acked []ident.TaskID
	for _, outcome := range report.Ended {
		p := s.partitions[outcome.Task.Work.Partition()]
		if !p.addReported(reportedOutcome{outcome, report.Process}) {
			acked = append(acked, outcome.Task)
		}
	}
	if len(acked) == 0 {
		return nil
	}
	return s.Peers.AckOutcomes(ctx, report.Process, acked)
}

// chooseOwner returns an owner for the task, excluding those that refused it.
func (s *Service) chooseOwner(spec work.Spec, refused map[ident.ProcessID]bool) (ident.ProcessID, error) {
	now := time.Now()
	candidates := []routing.Candidate{{Process: s.Self, Zone: s.Zone, Self: true, Digest: s.Digest(now)}}
	for _, heartbeat := range s.Heartbeats() {
		candidates = append(candidates, routing.Candidate{
			Process: heartbeat.Peer.ID, Zone: heartbeat.Peer.Zone, Digest: heartbeat.Digest,
		})
	}
	eligible := candidates[:0]
	for _, c := range candidates {
		if !refused[c.Process] && !c.Digest.Capacity.IsZero() {
			eligible = append(eligible, c)
		}
	}
	owner, ok := routing.ChooseOwner(routingRand(spec), eligible, spec, s.Zone)
	if !ok {
		return "", fault.New(fault.NoCapacity, "no process that owns workers is available for task %s", spec.ID)
	}
	return owner, nil
}

func (s *Service) recordEvent(kind timeline.Kind, task ident.TaskID, detail string) {
	s.Recorder.Record(time.Now(), timeline.Event{Kind: kind, Work: task.Work, Detail: detail})
}

// routingRand returns the random number generator for one attempt. It depends only on the task and the attempt, so that
// a session can be replayed.
func routingRand(spec work.Spec) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(spec.ID.String()), uint64(spec.Attempt)))
}
