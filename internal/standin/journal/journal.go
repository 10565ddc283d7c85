// Package journal is a stand-in for the journals of a cell: it keeps them in memory, for all processes of the cell.
package journal

import (
	"context"
	"sync"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/fault"
)

// Journals holds the journal of every partition.
type Journals struct {
	mu         sync.Mutex
	down       bool
	partitions [ident.Partitions]partition
}

type partition struct {
	writer  ident.ProcessID
	records []journal.Record
}

// New returns empty journals.
func New() *Journals { return &Journals{} }

// SetDown makes every call fail with StoreUnavailable, or ends that.
func (j *Journals) SetDown(down bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.down = down
}

// Count returns the number of records of the kind about the work.
func (j *Journals) Count(kind journal.Kind, id ident.WorkID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, r := range j.partitions[id.Partition()].records {
		if r.Kind == kind && r.Work == id {
			n++
		}
	}
	return n
}

// Writer is the journals as one process writes them. It implements home.Journal.
type Writer struct {
	journals *Journals
	process  ident.ProcessID
}

// Writer returns the journals for the process.
func (j *Journals) Writer(process ident.ProcessID) *Writer { return &Writer{j, process} }

// Append implements home.Journal.
func (w *Writer) Append(_ context.Context, id ident.PartitionID, records ...journal.Record) error {
	j := w.journals
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &j.partitions[id]
	switch {
	case j.down:
		return fault.New(fault.StoreUnavailable, "the journal is down")
	case p.writer != w.process:
		return fault.New(fault.StaleEpoch, "process %q writes the journal of partition %d", p.writer, id)
	}
	p.records = append(p.records, records...)
	return nil
}

// Take implements home.Journal.
func (w *Writer) Take(_ context.Context, id ident.PartitionID) ([]journal.Record, error) {
	j := w.journals
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.down {
		return nil, fault.New(fault.StoreUnavailable, "the journal is down")
	}
	p := &j.partitions[id]
	p.writer = w.process
	return append([]journal.Record(nil), p.records...), nil
}
