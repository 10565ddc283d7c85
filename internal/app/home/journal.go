package home

import (
	"context"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
)

// Journal makes records last.
type Journal interface {
	// Append returns once the records are stored. It fails with StoreUnavailable when they certainly are not, with
	// StaleEpoch when another home writes the partition's journal, and with Interrupted when it could not find out.
	Append(ctx context.Context, partition ident.PartitionID, records ...journal.Record) error
	// TakeOver makes this process the writer of the partition's journal and returns the records that have not expired.
	TakeOver(ctx context.Context, partition ident.PartitionID) ([]journal.Record, error)
}
