package permit_test

import (
	"maps"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
)

// TestTickets guards against starts with a ticket that has expired or was issued for another incarnation of the worker,
// and against repeated calls for workers whose response does not change.
func TestTickets(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p, a, b := permit.New(), permit.Worker{ID: "a", Incarnation: 1}, permit.Worker{ID: "b", Incarnation: 1}
	call := permit.Call{Workers: []permit.Worker{a, b}, Expected: 1.5}
	p.BeginCall(call)
	if !p.Asked(a) || p.Expected() != 1.5 {
		t.Errorf("worker a is asked about: %v; room expected for %v tasks", p.Asked(a), p.Expected())
	}
	p.EndCall(call)
	unknown, allowed := p.ApplyResponse([]permit.Worker{a, b}, map[ident.WorkerID]permit.Ticket{"a": {Value: "t", Expires: now.Add(time.Second)}})
	if unknown != 2 || allowed != 1 || p.CallInProgress() {
		t.Errorf("%d workers unknown before, %d of them allowed, call in progress %v", unknown, allowed, p.CallInProgress())
	}
	if !p.Refused(b) || p.Refused(a) || p.Refused(permit.Worker{ID: "b", Incarnation: 2}) {
		t.Error("only the known incarnation of worker b must be refused")
	}
	if !p.Valid(a, now) || p.Valid(a, now.Add(time.Second)) || p.Valid(permit.Worker{ID: "a", Incarnation: 2}, now) {
		t.Error("the ticket must be valid for one incarnation of worker a, until it expires")
	}
	if len(maps.Collect(p.Tickets(now))) != 1 || len(maps.Collect(p.Tickets(now.Add(time.Second)))) != 0 {
		t.Error("only a ticket that has not expired must be returned")
	}
	p.DropTicket(a)
	if p.Valid(a, now) || !p.Allowed(a) {
		t.Error("a rejected ticket is still valid, or its worker is no longer known as allowed")
	}
}

// TestShare guards against an estimate that ignores responses, and against one that a single response dominates.
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
		t.Errorf("%.2f after responses that allow nine of ten workers", v)
	}
}
