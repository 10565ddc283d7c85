package leadership

import (
	"context"
	"strconv"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// termRecord is the stored record of the latest term.
type termRecord struct {
	number        uint64        // 0 if there has been no term
	ended         bool          // the leader had stopped its work when it released the key, and so had every earlier one
	stopped       bool          // the leader had stopped its work when it released the key; earlier ones may be left
	earlierActive time.Duration // for how long after the start of the term leaders before it may have sent requests to workers
	revision      ident.Revision
}

const (
	// termEndedSuffix follows the number of a term that ended when its leader and every earlier one had stopped their work.
	termEndedSuffix = " over"
	// stoppedSuffix follows the record of earlier leaders if the leader of the term itself has stopped its work.
	stoppedSuffix = " stopped"
)

func formatTerm(number uint64) string { return strconv.FormatUint(number, 10) }

// formatEarlier returns the record of the leaders before a term: its number, and for how many milliseconds after its start they may
// have sent requests to workers.
func formatEarlier(number uint64, active time.Duration) string {
	return formatTerm(number) + " " + strconv.FormatInt(active.Milliseconds(), 10)
}

func (e *Election) readTermRecord(ctx context.Context) (termRecord, error) {
	var record termRecord
	var earlier string
	entries, _, err := e.store.List(ctx, port.TermKey)
	if err != nil {
		return termRecord{}, err
	}
	for _, entry := range entries {
		switch entry.Key {
		case port.EarlierTermKey:
			earlier = string(entry.Value)
		case port.TermKey:
			var digits string
			digits, record.ended = strings.CutSuffix(string(entry.Value), termEndedSuffix)
			record.revision = entry.Revision
			if record.number, err = strconv.ParseUint(digits, 10, 64); err != nil {
				return termRecord{}, fault.WrapAs(fault.Invalid, err, "parse the term record")
			}
		}
	}
	record.setEarlier(earlier)
	return record, nil
}

// setEarlier applies the record of earlier leaders. If it is missing, or of another term, they may have been active for the longest
// time.
func (r *termRecord) setEarlier(value string) {
	r.earlierActive = MaxRenewalGap
	value, stopped := strings.CutSuffix(value, stoppedSuffix)
	number, active, _ := strings.Cut(value, " ")
	ms, err := strconv.ParseInt(active, 10, 64)
	if err == nil && number == formatTerm(r.number) {
		r.stopped, r.earlierActive = stopped, time.Duration(ms)*time.Millisecond
	}
	if r.number == 0 {
		r.earlierActive = 0
	}
}

// active returns for how long from now the leader of the term may send requests to workers, given whether its lease has been ended
// because it seems to be dead.
func (r termRecord) active(leaseEnded bool) time.Duration {
	switch {
	case r.number == 0 || r.ended || r.stopped:
		return 0
	case leaseEnded:
		return ConfirmedFor
	default:
		return MaxRenewalGap
	}
}

// successor returns the next term, which begins now.
func (e *Election) successor(last termRecord, leaseEnded bool, now time.Time) Term {
	term := Term{Number: last.number + 1, HasPredecessor: last.number > 0, PredecessorStopped: last.ended}
	if !term.HasPredecessor || term.PredecessorStopped {
		return term
	}
	term.PredecessorSilentAt = now.Add(last.active(leaseEnded))
	if last.earlierActive > 0 {
		term.EarlierSilentAt = e.latestTerm.since(last.number, now).Add(last.earlierActive)
	}
	term.earlierActive = max(term.allSilentAt().Sub(now), 0)
	return term
}

// writes returns what records the term.
func (t Term) writes() []port.Write {
	return []port.Write{
		{Key: port.TermKey, Value: []byte(formatTerm(t.Number))},
		{Key: port.EarlierTermKey, Value: []byte(formatEarlier(t.Number, t.earlierActive))},
	}
}

// allSilentAt returns the time from which no earlier leader sends requests to workers. It is zero if that has been so since the
// term began.
func (t Term) allSilentAt() time.Time {
	if t.EarlierSilentAt.After(t.PredecessorSilentAt) {
		return t.EarlierSilentAt
	}
	return t.PredecessorSilentAt
}

// recordSilence records that no earlier leader is left once that is so, so that later leaders need not wait for them.
func (e *Election) recordSilence(ctx context.Context, term Term) {
	if term.allSilentAt().IsZero() || !pause.For(ctx, time.Until(term.allSilentAt())) {
		return
	}
	for {
		commitCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := e.store.Commit(commitCtx, port.Txn{
			If:     []port.Condition{{Key: port.LeaderKey, Revision: term.Revision}},
			Writes: []port.Write{{Key: port.EarlierTermKey, Value: []byte(formatEarlier(term.Number, 0))}},
		})
		cancel()
		if err == nil || fault.Is(err, fault.Conflict) || !pause.For(ctx, retryInterval) {
			return
		}
	}
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

// since returns from when the process knew of the given term: now, if it did not.
func (s *seenTerm) since(number uint64, now time.Time) time.Time {
	if number != s.number {
		return now
	}
	return s.at
}
