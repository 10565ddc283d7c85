// Package home holds the partitions that this process is the home of: it deduplicates request ids and sees each request
// through to its outcome.
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

// Config is what the service needs.
type Config struct {
	Self           ident.ProcessID
	Zone           ident.Zone
	Members        *membership.Membership
	LiveChanged    func() <-chan struct{} // closed when the set of live processes next changes
	Heartbeats     func() []port.Heartbeat
	Digest         func(time.Time) fleet.Digest
	Directory      *directory.Directory
	Peers          port.Peers
	Journal        Journal
	Recorder       *timeline.Recorder
	Log            *slog.Logger
	Retries        *rate.Limiter // budget of this process for further placements of refused or failed attempts
	TaskLeaseBound time.Duration // when an attempt that nobody holds has certainly ended: the task lease bound
}

// Service holds the partitions.
type Service struct {
	Config
	partitions [ident.Partitions]*partition

	mu    sync.Mutex
	stops map[ident.ProcessID][]stop // by owner; an owner without stops: a call is under way
}

// New returns a service that is the home of nothing yet.
func New(config Config) *Service {
	s := &Service{Config: config, stops: map[ident.ProcessID][]stop{}}
	for i := range s.partitions {
		s.partitions[i] = newPartition(s, ident.PartitionID(i))
	}
	return s
}

// Run keeps one goroutine for each partition until the context ends.
func (s *Service) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range s.partitions {
		running.Go(func() { p.Run(ctx) })
	}
	running.Wait()
}

// Partitions returns the partitions that this process is the home of.
func (s *Service) Partitions() []ident.PartitionID {
	var ids []ident.PartitionID
	for _, p := range s.partitions {
		if p.current() != nil {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// HandleExecute runs a request, or joins it when it arrived before, and returns its outcome.
func (s *Service) HandleExecute(ctx context.Context, call port.Execute) (work.Outcome, error) {
	p := s.partitions[call.Spec.ID.Work.Partition()]
	ctx, cancel := context.WithDeadline(ctx, call.Spec.Deadline)
	defer cancel()
	t, err := p.await(ctx)
	if err != nil {
		return work.Outcome{}, err
	}
	return t.execute(ctx, call)
}

// HandleReport takes the ends of attempts that no call of this home waits for, and lets the owner forget those that
// this home has no use for.
func (s *Service) HandleReport(ctx context.Context, report port.AttemptReport) error {
	var settled []ident.TaskID
	for _, outcome := range report.Ended {
		p := s.partitions[outcome.Task.Work.Partition()]
		if !p.report(reported{outcome, report.Process}) {
			settled = append(settled, outcome.Task)
		}
	}
	if len(settled) == 0 {
		return nil
	}
	return s.Peers.AckOutcomes(ctx, report.Process, settled)
}

// choose returns an owner for the task, leaving out those that refused it.
func (s *Service) choose(spec work.Spec, refused map[ident.ProcessID]bool) (ident.ProcessID, error) {
	now := time.Now()
	candidates := []routing.Candidate{{Process: s.Self, Zone: s.Zone, Self: true, Digest: s.Digest(now)}}
	for _, beat := range s.Heartbeats() {
		candidates = append(candidates, routing.Candidate{
			Process: beat.Peer.ID, Zone: beat.Peer.Zone, Digest: beat.Digest,
		})
	}
	open := candidates[:0]
	for _, c := range candidates {
		if !refused[c.Process] && !c.Digest.Capacity.IsZero() {
			open = append(open, c)
		}
	}
	owner, ok := routing.Choose(choiceOf(spec), open, spec, s.Zone)
	if !ok {
		return "", fault.New(fault.NoCapacity, "no process owns a worker that may take %s", spec.ID)
	}
	return owner, nil
}

func (s *Service) record(kind timeline.Kind, task ident.TaskID, detail string) {
	s.Recorder.Record(time.Now(), timeline.Event{Kind: kind, Work: task.Work, Detail: detail})
}

// choiceOf returns the random numbers for one attempt. They depend only on the task and the attempt, so that a session
// replays.
func choiceOf(spec work.Spec) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(spec.ID.String()), uint64(spec.Attempt)))
}
