package leadership

import (
	"context"
	"strconv"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// termRecord is the stored record of the latest term.
type termRecord struct {
	number   uint64 // 0 if there has been no term
	ended    bool   // the leader had stopped its work when it released the key, and so had every earlier one
	sole     bool   // every earlier leader had stopped its work when the term began
	revision ident.Revision
}

// termEndedSuffix follows the number of a term that ended when its leader and every earlier one had stopped their work.
const termEndedSuffix = " over"

func formatTerm(number uint64) string { return strconv.FormatUint(number, 10) }

func (e *Election) readTermRecord(ctx context.Context) (termRecord, error) {
	var record termRecord
	var sole string
	entries, _, err := e.store.List(ctx, port.TermKey)
	if err != nil {
		return termRecord{}, err
	}
	for _, entry := range entries {
		switch entry.Key {
		case port.SoleTermKey:
			sole = string(entry.Value)
		case port.TermKey:
			var digits string
			digits, record.ended = strings.CutSuffix(string(entry.Value), termEndedSuffix)
			record.revision = entry.Revision
			if record.number, err = strconv.ParseUint(digits, 10, 64); err != nil {
				return termRecord{}, fault.WrapAs(fault.Invalid, err, "parse the term record")
			}
		}
	}
	record.sole = record.number == 0 || sole == formatTerm(record.number)
	return record, nil
}

// successor returns the writes that record the next term.
func (r termRecord) successor() []port.Write {
	number := []byte(formatTerm(r.number + 1))
	writes := []port.Write{{Key: port.TermKey, Value: number}}
	if r.number == 0 || r.ended {
		writes = append(writes, port.Write{Key: port.SoleTermKey, Value: number})
	}
	return writes
}

// seenTerm is the latest term that a process knows of, and since when.
type seenTerm struct {
	number uint64
	at     time.Time
}

func (s *seenTerm) observe(number uint64, now time.Time) {
	if number != s.number {
		*s = seenTerm{number, now}
	}
}

// earlierSilentAt returns the time from which the leaders before the given term certainly send no requests to workers. Their
// leases were not renewed after the term began.
func (s *seenTerm) earlierSilentAt(number uint64, now time.Time) time.Time {
	if number != s.number {
		return now.Add(MaxRenewalGap)
	}
	return s.at.Add(MaxRenewalGap)
}

// isLastLeft reports whether every earlier leader has certainly stopped, given when the term began.
func (t Term) isLastLeft(began time.Time) bool {
	return !t.HasPredecessor || t.PredecessorStopped || time.Since(began) >= MaxRenewalGap
}
