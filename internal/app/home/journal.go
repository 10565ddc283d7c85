package home

import (
	"context"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
)

// Journal stores records durably.
type Journal interface {
	// Append returns once the records are stored. It fails with StoreUnavailable if they certainly are not stored, with
	// StaleEpoch if another process writes the partition's journal, and with Interrupted if it is unknown whether they
	// are stored.
	Append(ctx context.Context, partition ident.PartitionID, records ...journal.Record) error
	// TakeOver makes this process the writer of the partition's journal and returns the records that have not expired.
	TakeOver(ctx context.Context, partition ident.PartitionID) ([]journal.Record, error)
}
