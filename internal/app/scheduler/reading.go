package scheduler

import (
	"context"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Parameters of reading the store.
const (
	readTimeout = 1500 * time.Millisecond // of a read of one key, and of the first try to read a page
	// maxPageTimeout suffices for a page of 1 MB on a link of 3 Mbit/s.
	maxPageTimeout = 3 * time.Second
	retryDelay     = 100 * time.Millisecond
	// readStallLimit is how long a new leader that renews its lease may get no page before it gives way. It allows for one
	// page that is lost and one that is slow.
	readStallLimit = readTimeout + maxPageTimeout
	// renewedLately is how recent a renewal of the lease has to be to show that the store serves this process.
	renewedLately = time.Second
)

// pageReader reads the entries below a prefix page by page. A page that fails is read again, so that what was read before is
// not lost: a link may be too slow to read everything within any fixed time.
type pageReader struct {
	s        *Scheduler
	prefix   string
	pause    time.Duration // between two pages
	givesWay bool          // ends with errStalled when other processes may be better placed to read
}

// errStalled means that the store answers renewals of the lease, and no reads.
var errStalled = fault.New(fault.Unavailable, "no page of the store was read in time")

// readAll passes each page to take, and returns the revision of the first page, from which a watch delivers every later change.
func (r pageReader) readAll(ctx context.Context, take func([]port.Entry)) (ident.Revision, error) {
	var asOf ident.Revision
	for after, more := "", true; more; {
		page, err := r.readPage(ctx, after)
		if err != nil {
			return 0, err
		}
		if after == "" {
			asOf = page.AsOf
		}
		take(page.Entries)
		more = page.More
		if more {
			after = page.Entries[len(page.Entries)-1].Key
			pause.For(ctx, r.pause)
		}
	}
	return asOf, nil
}

// readPage reads one page, as often as needed.
func (r pageReader) readPage(ctx context.Context, after string) (port.Page, error) {
	began := time.Now()
	for timeout := readTimeout; ; timeout = min(2*timeout, maxPageTimeout) {
		pageCtx, cancel := context.WithTimeout(ctx, timeout)
		page, err := r.s.ports.Store.ListPage(pageCtx, r.prefix, after)
		cancel()
		if err == nil {
			return page, nil
		}
		if ctx.Err() != nil {
			return port.Page{}, ctx.Err()
		}
		r.s.log.Warn("page of the store not read", "prefix", r.prefix, "after", after, "error", err)
		if r.givesWay && r.s.hasStalled(began) {
			return port.Page{}, errStalled
		}
		pause.For(ctx, retryDelay)
	}
}

// hasStalled reports whether other processes may be better placed to read what has failed since the given time: the store does not
// serve this process, and renews its lease.
func (s *Scheduler) hasStalled(began time.Time) bool {
	now := time.Now()
	return now.Sub(began) >= readStallLimit && s.term.Renewal.Within(renewedLately, now)
}
