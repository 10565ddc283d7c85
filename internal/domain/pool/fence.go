package pool

import (
	"time"

	"skylarkstall/internal/domain/ident"
)

// fence keeps requests that were meant for an earlier life (incarnation) of a worker, or that an earlier leader sent, from taking effect
// late on its present one. A worker ignores requests with a lower token than the highest that it has seen, and forgets the tokens when it restarts.
type fence struct {
	token    ident.Epoch   // of the requests to the worker
	outdated bool          // requests to an earlier life carried the token
	open     bool          // the worker has restarted, and has not answered a request with a later token
	closedAt time.Time     // when the worker first answered a request with the token; zero before
	longest  time.Duration // longest lease that a request with a lower token may have left
}

// Token returns the fencing token of the requests to the worker.
func (w *Worker) Token() ident.Epoch { return w.fence.token }

// NeedsToken reports whether requests to an earlier life of the worker carried its token.
func (w *Worker) NeedsToken() bool { return w.fence.outdated }

// SetToken sets the token of the requests to the worker. A token that is not higher than the present one changes nothing.
func (w *Worker) SetToken(token ident.Epoch) {
	if token > w.fence.token {
		w.fence = fence{token: token, open: w.fence.open}
	}
}

// OutdateToken records that the worker has restarted. Until CloseFence, requests to its earlier life may still take effect, and it gets
// no starts. It changes nothing if no life of the worker has answered a request with the token.
func (w *Worker) OutdateToken() {
	if w.fence.open || !w.fence.closedAt.IsZero() {
		w.fence.outdated, w.fence.open, w.fence.closedAt = true, true, time.Time{}
	}
}

// AwaitsFence reports whether the worker has restarted, and requests to its earlier life may still take effect.
func (w *Worker) AwaitsFence() bool { return w.fence.open }

// CloseFence records that the worker has answered a request with the given token, at a reading of its clock. From then on no request
// with a lower token takes effect. Those that did before may have left a lease of the given length: the lease expiry in a request to an
// earlier life lies on another clock, and the worker shortens it to the longest lease that it grants.
func (w *Worker) CloseFence(token ident.Epoch, reading, longest time.Duration, now time.Time) {
	if token != w.fence.token || w.fence.outdated || !w.fence.closedAt.IsZero() {
		return
	}
	w.fence.open, w.fence.closedAt, w.fence.longest = false, now, longest
	w.leaseExpiry = max(w.leaseExpiry, reading+longest)
}

// IsFenced reports whether no request to an earlier life, or of an earlier leader, can take effect any more, and whatever lease one of
// them has left ends no later than one of the usual length that is granted now.
func (w *Worker) IsFenced(usual time.Duration, now time.Time) bool {
	return !w.fence.closedAt.IsZero() && !now.Before(w.fence.closedAt.Add(LapseTime(w.fence.longest)-LapseTime(usual)))
}

// fenced is a filter: until the fence is closed, a start could be killed late, or kept alive, by a request to an earlier life.
func fenced(w *Worker, _ *Request) bool { return !w.fence.open }
