// Package journalwriter stores the records of partitions in the platform's key-value service: it commits them in
// groups, finds out what became of a write whose answer was lost, and steps down when another process writes the
// journal.
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
	// CommitInterval is the shortest time between two commits of a partition. It bounds the journal to 4 writes/s for
	// each partition at any load.
	CommitInterval = 250 * time.Millisecond
	// MaxConcurrentTakeovers is how many partitions are taken at a time, so that the death of a process does not make all of its
	// partitions list their journals at once.
	MaxConcurrentTakeovers = 4
	// MaxQueuedAppends is how many appends may wait in one partition: over 4 s at 530 task starts/s that all hit one
	// partition.
	MaxQueuedAppends = 4096
	// commitTimeout bounds a commit with its reading back: two calls that run into their own timeouts of 2 s, and a
	// second for pauses.
	commitTimeout = 5 * time.Second
	// takeTimeout bounds a takeover.
	takeTimeout = 10 * time.Second
)

// Codec encodes what the store keeps. The decoders refuse damaged values with Internal.
type Codec interface {
	EncodeSegment(s journal.Segment) ([]byte, error)
	DecodeSegment(value []byte) (journal.Segment, error)
	EncodeSnapshot(s journal.Snapshot) ([]byte, error)
	DecodeSnapshot(value []byte) (journal.Snapshot, error)
}

// Config is what the service needs.
type Config struct {
	Self  ident.ProcessID
	Store port.Store
	Codec Codec
	Log   *slog.Logger
}

// Service implements home.Journal.
type Service struct {
	Config
	takeovers chan struct{} // holds a token for each takeover in progress
	lines     [ident.Partitions]*line
}

// New returns a service that writes no journal yet.
func New(config Config) *Service {
	s := &Service{Config: config, takeovers: make(chan struct{}, MaxConcurrentTakeovers)}
	for i := range s.lines {
		s.lines[i] = &line{service: s, id: ident.PartitionID(i)}
	}
	return s
}

// line is the queue of one partition. While it has something to write, one goroutine commits it.
type line struct {
	service *Service
	id      ident.PartitionID

	mu         sync.Mutex
	journal    *journal.Journal // nil before the first takeover
	waiting    []*appending
	committing bool
	last       time.Time // start of the last commit
}

// appending is one call of Append.
type appending struct {
	records []journal.Record
	size    int
	done    chan error // receives the end; has room for it
}

// Append implements home.Journal.
func (s *Service) Append(ctx context.Context, partition ident.PartitionID, records ...journal.Record) error {
	l := s.lines[partition]
	a, err := l.enqueue(records)
	if err != nil {
		return err
	}
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
	}
	if l.withdraw(a) {
		return fault.New(fault.StoreUnavailable, "partition %d: the records waited too long for a commit", partition)
	}
	return fault.New(fault.Interrupted, "partition %d: the commit of the records goes on", partition)
}

// enqueue adds the records to the queue and starts the committing goroutine if there is none.
func (l *line) enqueue(records []journal.Record) (*appending, error) {
	a := &appending{records: records, done: make(chan error, 1)}
	for _, r := range records {
		a.size += r.Size()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.journal == nil:
		return nil, fault.New(fault.StoreUnavailable, "the journal of partition %d was not taken", l.id)
	case len(l.waiting) >= MaxQueuedAppends:
		return nil, fault.New(fault.StoreUnavailable, "partition %d: %d appends wait", l.id, len(l.waiting))
	case a.size > journal.MaxSegmentBytes:
		return nil, fault.New(fault.StoreUnavailable, "records of %d bytes; a segment takes %d", a.size, journal.MaxSegmentBytes)
	}
	l.waiting = append(l.waiting, a)
	if !l.committing {
		l.committing = true
		go l.run()
	}
	return a, nil
}

// withdraw returns true if the records were not part of a commit yet.
func (l *line) withdraw(a *appending) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiting := range l.waiting {
		if waiting == a {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// run commits until nothing waits: at once when the last commit is long ago, otherwise after the interval.
func (l *line) run() {
	for {
		time.Sleep(time.Until(l.due()))
		group, j, ok := l.next(time.Now())
		if !ok {
			return
		}
		group = l.admit(j, group)
		if len(group) == 0 {
			continue
		}
		err := l.commit(j, group)
		for _, a := range group {
			a.done <- err
		}
		if err == nil {
			l.compact(j, false)
		}
	}
}

// admit refuses the appends that the journal has no room for and returns the others, so that the outcomes of running
// work do not fail with new work.
func (l *line) admit(j *journal.Journal, group []*appending) []*appending {
	var records []journal.Record
	var admitted []*appending
	for _, a := range group {
		with := append(records[:len(records):len(records)], a.records...)
		if j.Fits(with) || l.compact(j, true) && j.Fits(with) {
			records, admitted = with, append(admitted, a)
			continue
		}
		a.done <- fault.New(fault.StoreUnavailable, "the journal of partition %d is full", l.id)
	}
	return admitted
}

func (l *line) due() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last.Add(CommitInterval)
}

// next takes what fits into one segment off the queue. It returns false when nothing waits.
func (l *line) next(now time.Time) ([]*appending, *journal.Journal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.committing = false
		return nil, nil, false
	}
	size, n := 0, 0
	for n < len(l.waiting) && size+l.waiting[n].size <= journal.MaxSegmentBytes {
		size += l.waiting[n].size
		n++
	}
	group := l.waiting[:n:n]
	l.waiting = append([]*appending(nil), l.waiting[n:]...)
	l.last = now
	return group, l.journal, true
}

// commit stores the records of the group as one segment.
func (l *line) commit(j *journal.Journal, group []*appending) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var records []journal.Record
	for _, a := range group {
		records = append(records, a.records...)
	}
	for {
		write, err := j.Append(records)
		if fault.Is(err, fault.StoreUnavailable) && l.compact(j, true) {
			write, err = j.Append(records)
		}
		if err != nil {
			return err
		}
		finding, err := l.write(ctx, j, write)
		switch {
		case err != nil:
			return err
		case finding == journal.Stored:
			return nil
		case finding == journal.Conflict:
			return fault.New(fault.StaleEpoch, "another process writes the journal of partition %d", l.id)
		}
	}
}

// TakeOver implements home.Journal. It fails with StaleEpoch when another process took the journal at the same time.
func (s *Service) TakeOver(ctx context.Context, partition ident.PartitionID) ([]journal.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	select {
	case s.takeovers <- struct{}{}:
		defer func() { <-s.takeovers }()
	case <-ctx.Done():
		return nil, fault.New(fault.StoreUnavailable, "partition %d: %d takeovers are in progress", partition, MaxConcurrentTakeovers)
	}
	l := s.lines[partition]
	j, err := l.takeOver(ctx)
	if err != nil {
		return nil, err
	}
	l.become(j)
	return j.Records(time.Now()), nil
}

// become makes the journal the one that appends go to. Appends that wait belong to the former term and are refused.
func (l *line) become(j *journal.Journal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.waiting {
		a.done <- fault.New(fault.StaleEpoch, "the journal of partition %d was taken again", l.id)
	}
	l.waiting, l.journal = nil, j
}

// takeOver reads the journal and writes the segment that fences its former writer.
func (l *line) takeOver(ctx context.Context) (*journal.Journal, error) {
	contents, err := l.read(ctx)
	if err != nil {
		return nil, err
	}
	j, err := journal.Open(l.service.Self, rand.Uint64()>>1, contents)
	if err != nil {
		return nil, fault.Wrap(err, "partition %d", l.id)
	}
	write, err := j.TakeOver(time.Now())
	if fault.Is(err, fault.StoreUnavailable) && l.compact(j, true) {
		write, err = j.TakeOver(time.Now())
	}
	if err != nil {
		return nil, err
	}
	finding, err := l.write(ctx, j, write)
	if err == nil && finding != journal.Stored {
		err = fault.New(fault.StaleEpoch, "another process writes the journal of partition %d", l.id)
	}
	return j, err
}
