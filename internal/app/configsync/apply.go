package configsync

import (
	"context"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
	"skylarkstall/internal/textdiff"
)

const (
	applyTimeout  = 10 * time.Second
	readBackPause = 100 * time.Millisecond // mean pause before a failed read-back is retried
	maxDiffBytes  = 8 << 10                // maximum size of a diff in an error message
)

// Apply writes a document if the document in the store has the expected revision, or does not exist if that is 0. If
// the store has another revision, the error is of kind Conflict and contains a diff. When the response to the write is
// lost, Apply reads the document back to determine the result; the error is of kind Interrupted if that is not possible
// in time. The error is of kind StoreUnavailable if nothing was written.
func (s *Service) Apply(
	ctx context.Context, name string, source []byte, expect ident.Revision,
) (ident.Revision, error) {
	if _, err := s.decode(team.DocumentRevision{Name: name, Source: source}); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	catalogRevision := s.Catalog.Revision()
	current, err := s.readStored(ctx, name)
	if err != nil {
		return 0, err
	}
	if current.Revision != expect {
		return 0, conflict(name, current, source)
	}
	revision, err := s.write(ctx, name, source, expect)
	if err != nil {
		return 0, err
	}
	if revision <= catalogRevision {
		return 0, fault.New(fault.Interrupted,
			"the change was stored with revision %d, but the store had been at revision %d; the change is not active",
			revision, catalogRevision)
	}
	s.applyChange(team.DocumentRevision{Name: name, Revision: revision, Source: source})
	return revision, nil
}

// readStored returns the document in the store; its revision is 0 if there is none.
func (s *Service) readStored(ctx context.Context, name string) (port.Entry, error) {
	active, _ := s.Catalog.Active(name) // revision 0 if there is no active document
	entry, err := s.Store.Get(ctx, KeyPrefix+name)
	switch {
	case fault.Is(err, fault.NotFound):
		return port.Entry{}, nil
	case err != nil:
		return port.Entry{}, err
	case entry.Revision < active.Revision:
		return port.Entry{}, fault.New(fault.StoreUnavailable,
			"the store has reverted to revision %d of the document; revision %d stays active",
			entry.Revision, active.Revision)
	}
	return entry, nil
}

// write stores a document; when a response is lost, it reads the document back and writes again if necessary. Repeating
// the write is safe, because the first write that takes effect changes the revision.
func (s *Service) write(
	ctx context.Context, name string, source []byte, expect ident.Revision,
) (ident.Revision, error) {
	responseLost := false
	for {
		revision, err := s.Store.Put(ctx, KeyPrefix+name, source, expect, 0)
		if err == nil {
			return revision, nil
		}
		if !responseLost && !fault.Is(err, fault.StoreUnavailable) && !fault.Is(err, fault.Conflict) {
			return 0, err
		}
		responseLost = responseLost || fault.Is(err, fault.StoreUnavailable)
		entry, readErr := s.readBack(ctx, name)
		switch {
		case readErr != nil:
			return 0, fault.WrapAs(fault.Interrupted, readErr,
				"the change may have taken effect; it could not be read back from the store")
		case responseLost && entry.Revision > expect && string(entry.Value) == string(source):
			return entry.Revision, nil
		case entry.Revision != expect && responseLost:
			return 0, fault.WrapAs(fault.Interrupted, conflict(name, entry, source),
				"the change may have taken effect before a later one")
		case entry.Revision != expect:
			return 0, conflict(name, entry, source)
		}
	}
}

// readBack returns the document in the store. It retries until the context ends.
func (s *Service) readBack(ctx context.Context, name string) (port.Entry, error) {
	for {
		entry, err := s.Store.Get(ctx, KeyPrefix+name)
		if err == nil || fault.Is(err, fault.NotFound) {
			return entry, nil
		}
		if !pause.For(ctx, pause.Jitter(readBackPause, string(s.Self))) {
			return port.Entry{}, err
		}
	}
}

// conflict returns an error with the diff from the document in the store to the rejected one.
func conflict(name string, current port.Entry, source []byte) error {
	if current.Revision == 0 {
		return fault.New(fault.Conflict, "the document of %s does not exist; expect revision 0 to create it", name)
	}
	diff := textdiff.Lines(string(current.Value), string(source), IsSecretLine)
	if len(diff) > maxDiffBytes {
		diff = diff[:maxDiffBytes] + "...\n"
	}
	return fault.New(fault.Conflict,
		"the document of %s was changed by someone else and has revision %d; diff from that revision to yours:\n%s",
		name, current.Revision, diff)
}

// IsSecretLine reports whether a line of a document contains a secret.
func IsSecretLine(line string) bool {
	return strings.HasPrefix(strings.TrimSpace(line), "token:")
}
