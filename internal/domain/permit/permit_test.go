package permit_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
)

// TestTickets guards against a start with a ticket that is too old, or of another life of the worker, and against calls
// that ask again what does not change.
func TestTickets(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p, a, b := permit.New(), permit.Worker{ID: "a", Incarnation: 1}, permit.Worker{ID: "b", Incarnation: 1}
	p.BeginCall()
	fresh, allowed := p.ApplyAnswer([]permit.Worker{a, b}, map[ident.WorkerID]permit.Ticket{"a": {Value: "t", Expires: now.Add(time.Second)}})
	if fresh != 2 || allowed != 1 || p.CallInProgress() {
		t.Errorf("fresh %d, allowed %d, asking %v", fresh, allowed, p.CallInProgress())
	}
	if !p.Refused(b) || p.Refused(a) || p.Refused(permit.Worker{ID: "b", Incarnation: 2}) {
		t.Error("refusals are wrong")
	}
	if !p.Valid(a, now) || p.Valid(a, now.Add(time.Second)) || p.Valid(permit.Worker{ID: "a", Incarnation: 2}, now) {
		t.Error("validity is wrong")
	}
	if len(p.Tickets(now)) != 1 || len(p.Tickets(now.Add(time.Second))) != 0 {
		t.Error("tickets are wrong")
	}
	p.DropTicket(a)
	if p.Valid(a, now) || !p.Allowed(a) {
		t.Error("a rejected ticket is used, or its worker forgotten")
	}
}

// TestShare guards against an estimate that never moves, or that one answer decides.
func TestShare(t *testing.T) {
	var s permit.AllowedShare
	before := s.Estimate()
	s.Observe(1, 0)
	if s.Estimate() >= before || s.Estimate() < before/2 {
		t.Errorf("%.2f after one refusal, %.2f before", s.Estimate(), before)
	}
	for range 100 {
		s.Observe(10, 9)
	}
	if v := s.Estimate(); v < 0.85 || v > 0.95 {
		t.Errorf("%.2f where nine of ten are allowed", v)
	}
}
