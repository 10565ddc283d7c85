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

// Times of a change.
const (
	applyTimeout  = 10 * time.Second
	settlePause   = 100 * time.Millisecond // mean pause before a write whose answer was lost is looked for
	maxDifference = 8 << 10                // bytes of a difference in an error
)

// Apply writes a document if the one in the store has the expected revision, 0 for none. It fails with Conflict when
// the store has another; the error shows the difference. A lost answer is settled by reading back. It fails with
// Interrupted when that was not possible in time, and with StoreUnavailable when nothing was written.
func (s *Service) Apply(
	ctx context.Context, name string, source []byte, expect ident.Revision,
) (ident.Revision, error) {
	if _, err := s.decode(team.DocumentRevision{Name: name, Source: source}); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	known := s.Catalog.Revision()
	current, err := s.current(ctx, name)
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
	if revision <= known {
		return 0, fault.New(fault.Interrupted,
			"written with revision %d, but the store went back from revision %d; the change is not in force", revision, known)
	}
	s.acceptOne(team.DocumentRevision{Name: name, Revision: revision, Source: source})
	return revision, nil
}

// current returns the document in the store; its revision is 0 when there is none.
func (s *Service) current(ctx context.Context, name string) (port.Entry, error) {
	inForce, _ := s.Catalog.Active(name) // revision 0 when none is in force
	entry, err := s.Store.Get(ctx, KeyPrefix+name)
	switch {
	case fault.Is(err, fault.NotFound):
		return port.Entry{}, nil
	case err != nil:
		return port.Entry{}, err
	case entry.Revision < inForce.Revision:
		return port.Entry{}, fault.New(fault.StoreUnavailable,
			"the store went back to revision %d of the document; revision %d is in force and stays",
			entry.Revision, inForce.Revision)
	}
	return entry, nil
}

// write makes the write and settles a lost answer. Writing again is safe, because the first write that takes effect
// changes the revision.
func (s *Service) write(
	ctx context.Context, name string, source []byte, expect ident.Revision,
) (ident.Revision, error) {
	lost := false
	for {
		revision, err := s.Store.Put(ctx, KeyPrefix+name, source, expect, 0)
		if err == nil {
			return revision, nil
		}
		if !lost && !fault.Is(err, fault.StoreUnavailable) && !fault.Is(err, fault.Conflict) {
			return 0, err
		}
		lost = lost || fault.Is(err, fault.StoreUnavailable)
		entry, readErr := s.readBack(ctx, name)
		switch {
		case readErr != nil:
			return 0, fault.WrapAs(fault.Interrupted, readErr, "the change may have taken effect; the store did not tell")
		case lost && entry.Revision > expect && string(entry.Value) == string(source):
			return entry.Revision, nil
		case entry.Revision != expect && lost:
			return 0, fault.WrapAs(fault.Interrupted, conflict(name, entry, source), "the change may have taken effect before")
		case entry.Revision != expect:
			return 0, conflict(name, entry, source)
		}
	}
}

// readBack returns the document in the store, and tries again until the context ends.
func (s *Service) readBack(ctx context.Context, name string) (port.Entry, error) {
	for {
		entry, err := s.Store.Get(ctx, KeyPrefix+name)
		if err == nil || fault.Is(err, fault.NotFound) {
			return entry, nil
		}
		if !pause.For(ctx, pause.Jitter(settlePause, string(s.Self))) {
			return port.Entry{}, err
		}
	}
}

// conflict shows the difference between the document in the store and the one that was to replace another revision.
func conflict(name string, current port.Entry, source []byte) error {
	if current.Revision == 0 {
		return fault.New(fault.Conflict, "the document of %s was deleted; expect revision 0 to write it again", name)
	}
	difference := textdiff.Lines(string(current.Value), string(source), IsSecretLine)
	if len(difference) > maxDifference {
		difference = difference[:maxDifference] + "...\n"
	}
	return fault.New(fault.Conflict,
		"the document of %s was changed by someone else and has revision %d; from that to yours:\n%s",
		name, current.Revision, difference)
}

// IsSecretLine reports whether a line of a document holds a secret.
func IsSecretLine(line string) bool {
	return strings.HasPrefix(strings.TrimSpace(line), "token:")
}
