// Package journalwriter stores the journals of partitions in the platform's key-value store. It groups appends into
// commits, resolves writes whose response was lost by reading them back, and rejects appends once another process has
// taken over the journal.
package journalwriter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Limits of a writer.
const (
	// CommitInterval is the minimum time between two commits of a partition. It limits the journal to 4 writes/s per
	// partition at any load.
	CommitInterval = 250 * time.Millisecond
	// MaxConcurrentTakeovers is the maximum number of concurrent takeovers, so that after the failure of a process not all
	// of its partitions list their journals at the same time.
	MaxConcurrentTakeovers = 4
	// MaxQueuedAppends is the maximum number of queued appends per partition: more than 4 s of 530 task starts/s that all
	// belong to one partition.
	MaxQueuedAppends = 4096
	// commitTimeout bounds a commit including its read-backs: two store calls that reach their own timeout of 2 s, and
	// 1 s for the pauses between them.
	commitTimeout   = 5 * time.Second
	takeoverTimeout = 10 * time.Second
)

// Codec encodes and decodes the stored values. The decoders fail with Internal if a value is corrupt.
type Codec interface {
	EncodeSegment(s journal.Segment) ([]byte, error)
	DecodeSegment(value []byte) (journal.Segment, error)
	EncodeSnapshot(s journal.Snapshot) ([]byte, error)
	DecodeSnapshot(value []byte) (journal.Snapshot, error)
}

// Config holds the dependencies of a Service.
type Config struct {
	Self  ident.ProcessID
	Store port.Store
	Codec Codec
	Log   *slog.Logger
}

// Service writes the journals of all partitions. It implements home.Journal.
type Service struct {
	Config
	takeovers chan struct{} // semaphore: one element per takeover in progress
	writers   [ident.PartitionCount]*partitionWriter
}

// New returns a Service that has not taken over any journal yet.
func New(config Config) *Service {
	s := &Service{Config: config, takeovers: make(chan struct{}, MaxConcurrentTakeovers)}
	for i := range s.writers {
		s.writers[i] = &partitionWriter{service: s, partition: ident.PartitionID(i)}
	}
	return s
}

// partitionWriter queues and commits the appends of one partition. One goroutine commits while the queue is not empty.
type partitionWriter struct {
	service   *Service
	partition ident.PartitionID

	mu         sync.Mutex
	journal    *journal.Journal // nil until the first takeover
	queue      []*pendingAppend
	committing bool
	lastCommit time.Time // start of the last commit
}

// pendingAppend is a call of Append that waits for its commit.
type pendingAppend struct {
	records []journal.Record
	size    int
	done    chan error // receives the result; buffered, so that the sender never blocks
}

// Append implements home.Journal.
func (s *Service) Append(ctx context.Context, partition ident.PartitionID, records ...journal.Record) error {
	w := s.writers[partition]
	a, err := w.enqueue(records)
	if err != nil {
		return err
	}
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
	}
	if w.withdraw(a) {
		return fault.New(fault.StoreUnavailable,
			"partition %d: canceled or timed out before the journal commit began", partition)
	}
	return fault.New(fault.Interrupted, "partition %d: canceled or timed out during the journal commit", partition)
}

// enqueue adds the records to the queue and starts the committing goroutine if it is not running.
func (w *partitionWriter) enqueue(records []journal.Record) (*pendingAppend, error) {
	a := &pendingAppend{records: records, done: make(chan error, 1)}
	for _, r := range records {
		a.size += r.Size()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.journal == nil:
		return nil, fault.New(fault.StoreUnavailable, "the journal of partition %d has not been taken over", w.partition)
	case len(w.queue) >= MaxQueuedAppends:
		return nil, fault.New(fault.StoreUnavailable, "partition %d: journal queue is full: %d appends",
			w.partition, len(w.queue))
	case a.size > journal.MaxSegmentBytes:
		return nil, fault.New(fault.StoreUnavailable, "records of %d bytes exceed the journal segment limit of %d bytes",
			a.size, journal.MaxSegmentBytes)
	}
	w.queue = append(w.queue, a)
	if !w.committing {
		w.committing = true
		go w.commitLoop()
	}
	return a, nil
}

// withdraw removes an append from the queue. It returns false if the append is already part of a commit.
func (w *partitionWriter) withdraw(a *pendingAppend) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, queued := range w.queue {
		if queued == a {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return true
		}
	}
	return false
}

// commitLoop commits until the queue is empty. It waits until CommitInterval has passed since the last commit began.
func (w *partitionWriter) commitLoop() {
	for {
		time.Sleep(time.Until(w.nextCommit()))
		group, j, ok := w.nextGroup(time.Now())
		if !ok {
			return
		}
		group = w.admitGroup(j, group)
		if len(group) == 0 {
			continue
		}
		err := w.commit(j, group)
		for _, a := range group {
			a.done <- err
		}
		if err == nil {
			w.compact(j, false)
		}
	}
}

// admitGroup rejects the appends that do not fit into the journal and returns the others, so that the outcomes of
// running work are not rejected together with new work.
func (w *partitionWriter) admitGroup(j *journal.Journal, group []*pendingAppend) []*pendingAppend {
	var records []journal.Record
	var admitted []*pendingAppend
	for _, a := range group {
		with := append(records[:len(records):len(records)], a.records...)
		if j.Fits(with) || w.compact(j, true) && j.Fits(with) {
			records, admitted = with, append(admitted, a)
			continue
		}
		a.done <- fault.New(fault.StoreUnavailable, "the journal of partition %d is full", w.partition)
	}
	return admitted
}

// nextCommit returns the earliest time of the next commit.
func (w *partitionWriter) nextCommit() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastCommit.Add(CommitInterval)
}

// nextGroup removes from the queue the appends that fit into one segment. It returns false if the queue is empty.
func (w *partitionWriter) nextGroup(now time.Time) ([]*pendingAppend, *journal.Journal, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.committing = false
		return nil, nil, false
	}
	size, n := 0, 0
	for n < len(w.queue) && size+w.queue[n].size <= journal.MaxSegmentBytes {
		size += w.queue[n].size
		n++
	}
	group := w.queue[:n:n]
	w.queue = append([]*pendingAppend(nil), w.queue[n:]...)
	w.lastCommit = now
	return group, w.journal, true
}

// commit writes the records of the group as one segment.
func (w *partitionWriter) commit(j *journal.Journal, group []*pendingAppend) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var records []journal.Record
	for _, a := range group {
		records = append(records, a.records...)
	}
	for {
		write, err := j.Append(records)
		if fault.Is(err, fault.StoreUnavailable) && w.compact(j, true) {
			write, err = j.Append(records)
		}
		if err != nil {
			return err
		}
		result, err := w.writeSegment(ctx, j, write)
		switch {
		case err != nil:
			return err
		case result == journal.Stored:
			return nil
		case result == journal.Conflict:
			return fault.New(fault.StaleEpoch, "another process writes the journal of partition %d", w.partition)
		}
	}
}

// TakeOver implements home.Journal. It fails with StaleEpoch if another process takes over the journal at the same
// time.
func (s *Service) TakeOver(ctx context.Context, partition ident.PartitionID) ([]journal.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	select {
	case s.takeovers <- struct{}{}:
		defer func() { <-s.takeovers }()
	case <-ctx.Done():
		return nil, fault.New(fault.StoreUnavailable,
			"partition %d: canceled or timed out waiting for %d other journal takeovers", partition, MaxConcurrentTakeovers)
	}
	w := s.writers[partition]
	j, err := w.takeOver(ctx)
	if err != nil {
		return nil, err
	}
	w.install(j)
	return j.Records(time.Now()), nil
}

// install replaces the journal to which appends go. Queued appends belong to the previous term and are rejected.
func (w *partitionWriter) install(j *journal.Journal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.queue {
		a.done <- fault.New(fault.StaleEpoch, "the journal of partition %d was taken over again", w.partition)
	}
	w.queue, w.journal = nil, j
}

// takeOver reads the journal and writes the segment that fences its previous writer.
func (w *partitionWriter) takeOver(ctx context.Context) (*journal.Journal, error) {
	contents, err := w.readJournal(ctx)
	if err != nil {
		return nil, err
	}
	j, err := journal.Open(w.service.Self, rand.Uint64()>>1, contents)
	if err != nil {
		return nil, fault.Wrap(err, "partition %d", w.partition)
	}
	write, err := j.TakeOver(time.Now())
	if fault.Is(err, fault.StoreUnavailable) && w.compact(j, true) {
		write, err = j.TakeOver(time.Now())
	}
	if err != nil {
		return nil, err
	}
	result, err := w.writeSegment(ctx, j, write)
	if err == nil && result != journal.Stored {
		err = fault.New(fault.StaleEpoch, "another process writes the journal of partition %d", w.partition)
	}
	return j, err
}
