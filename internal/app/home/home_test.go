package home_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/app/home"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

var order = ident.WorkID{Team: "vembanad", Request: "order-1"}

// records is a journal in memory.
type records struct {
	mu     sync.Mutex
	stored []journal.Record
	fail   error // of every append
}

func (r *records) Append(_ context.Context, _ ident.PartitionID, added ...journal.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fail != nil {
		return r.fail
	}
	r.stored = append(r.stored, added...)
	return nil
}

func (r *records) TakeOver(_ context.Context, partition ident.PartitionID) ([]journal.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partition != order.Partition() {
		return nil, nil
	}
	return append([]journal.Record(nil), r.stored...), nil
}

func (r *records) kinds() []journal.Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kinds []journal.Kind
	for _, record := range r.stored {
		kinds = append(kinds, record.Kind)
	}
	return kinds
}

// owner is the only process and holds what the test says.
type owner struct {
	port.Peers
	mu      sync.Mutex
	held    []port.HeldAttempt
	highest ident.HomeEpoch // seen of another home
	place   func(port.Place) (work.Outcome, error)
	placed  int // calls that start an attempt
	settled int
}

func (o *owner) TakeHome(_ context.Context, _ ident.ProcessID, call port.TakeHome) (port.TakeHomeReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if call.Home.Less(o.highest) {
		return port.TakeHomeReply{HighestEpoch: o.highest}, nil
	}
	held := port.TakeHomeReply{HighestEpoch: call.Home}
	for _, t := range o.held {
		if t.Task.Work.Partition() == call.Partition {
			held.Tasks = append(held.Tasks, t)
		}
	}
	return held, nil
}

func (o *owner) Place(_ context.Context, _ ident.ProcessID, call port.Place) (work.Outcome, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !call.Attach {
		o.placed++
	}
	return o.place(call)
}

func (o *owner) AckOutcomes(_ context.Context, _ ident.ProcessID, tasks []ident.TaskID) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settled += len(tasks)
	return nil
}

func (o *owner) counts() (placed, settled int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.placed, o.settled
}

type noWorkers struct{}

func (noWorkers) List(context.Context) ([]port.VM, error) { return nil, nil }

// startHome runs the home of every partition until the test ends.
func startHome(t *testing.T, j home.Journal, o *owner) *home.Service {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	dir := directory.New(noWorkers{}, log)
	never := make(chan struct{})
	s := home.New(home.Config{
		Self: "entry-1", Members: membership.New(membership.Peer{ID: "entry-1"}, membership.Settings{}),
		LiveChanged: func() <-chan struct{} { return never }, Heartbeats: func() []port.Heartbeat { return nil },
		Digest: func(time.Time) fleet.Digest {
			return fleet.Digest{Capacity: resource.Vector{Slots: 1}, Free: resource.Vector{Slots: 1}}
		},
		Directory: dir, Peers: o, Journal: j, Recorder: timeline.NewRecorder("entry-1", 100), Log: log, TaskLeaseBound: time.Minute,
		Retries: rate.NewLimiter(rate.Inf, 1),
	})
	var running sync.WaitGroup
	running.Go(func() { dir.Run(ctx) })
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return s
}

func execute(s *home.Service, repeatable bool) (work.Outcome, error) {
	return s.HandleExecute(context.Background(), port.Execute{Digest: 1, Spec: work.Spec{
		ID: ident.TaskID{Work: order}, Repeatable: repeatable, Size: resource.Vector{Slots: 1},
		Deadline: time.Now().Add(2 * time.Second),
	}})
}

func intent() journal.Record {
	return journal.Record{Kind: journal.Intent, Work: order, Digest: 1, Expires: time.Now().Add(time.Hour)}
}

func succeed(call port.Place) (work.Outcome, error) {
	return work.Outcome{Task: call.Spec.ID, Attempt: call.Spec.Attempt, OK: true, Output: []byte("printed")}, nil
}

func expectKinds(t *testing.T, r *records, want ...journal.Kind) {
	t.Helper()
	got := r.kinds()
	if len(got) != len(want) {
		t.Fatalf("journal has kinds %v; want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("journal has kinds %v; want %v", got, want)
		}
	}
}

// TestIntentAndOutcome guards the order of at-most-once work: intent, start, outcome, and only then the owner forgets.
func TestIntentAndOutcome(t *testing.T) {
	r, o := &records{}, &owner{}
	o.place = func(call port.Place) (work.Outcome, error) {
		expectKinds(t, r, journal.Intent)
		return succeed(call)
	}
	s := startHome(t, r, o)
	for range 2 {
		if outcome, err := execute(s, false); err != nil || string(outcome.Output) != "printed" {
			t.Errorf("output %q, error %v", outcome.Output, err)
		}
	}
	expectKinds(t, r, journal.Intent, journal.Outcome)
	if placed, _ := o.counts(); placed != 1 {
		t.Errorf("placed %d times", placed)
	}
}

// TestIntentWithoutOutcome guards guarantees 4 and 5 after a takeover: an intent whose attempt nobody holds is answered
// unknown_outcome and never started; one whose attempt is held is joined.
func TestIntentWithoutOutcome(t *testing.T) {
	r, o := &records{stored: []journal.Record{intent()}}, &owner{place: succeed}
	_, err := execute(startHome(t, r, o), false)
	if !fault.Is(err, fault.UnknownOutcome) {
		t.Errorf("not held: %v; want unknown_outcome", err)
	}
	expectKinds(t, r, journal.Intent, journal.Outcome)

	held := port.HeldAttempt{Task: ident.TaskID{Work: order}, Attempt: 5, Worker: "worker-1"}
	r2, o2 := &records{stored: []journal.Record{intent()}}, &owner{place: succeed, held: []port.HeldAttempt{held}}
	outcome, err := execute(startHome(t, r2, o2), false)
	if err != nil || outcome.Attempt != 5 {
		t.Errorf("held: attempt %d, error %v", outcome.Attempt, err)
	}
	expectKinds(t, r2, journal.Intent, journal.Outcome)
	placed, _ := o.counts()
	placed2, settled := o2.counts()
	for i := 0; settled == 0 && i < 100; i++ {
		time.Sleep(10 * time.Millisecond)
		_, settled = o2.counts()
	}
	if placed+placed2 != 0 || settled != 1 {
		t.Errorf("%d starts; settled %d times", placed+placed2, settled)
	}
}

// TestLostPlacement guards that an attempt whose call broke off and which nobody holds is started again only when it is
// repeatable.
func TestLostPlacement(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		r, o := &records{}, &owner{}
		o.place = func(call port.Place) (work.Outcome, error) {
			switch {
			case call.Attach:
				return work.Outcome{}, fault.New(fault.NotFound, "not held")
			case o.placed == 1:
				return work.Outcome{}, fault.New(fault.Interrupted, "the connection broke")
			default:
				return succeed(call)
			}
		}
		_, err := execute(startHome(t, r, o), repeatable)
		placed, _ := o.counts()
		if repeatable && (err != nil || placed != 2) {
			t.Errorf("repeatable: %d starts, error %v", placed, err)
		}
		if !repeatable && (!fault.Is(err, fault.UnknownOutcome) || placed != 1) {
			t.Errorf("not repeatable: %d starts, error %v; want unknown_outcome", placed, err)
		}
	}
}

// TestRefusedIntent guards guarantee 4: a request whose intent is not stored is told "not run" and not started,
// unless a later home may have run it.
func TestRefusedIntent(t *testing.T) {
	r, o := &records{fail: fault.New(fault.Interrupted, "the commit is in doubt")}, &owner{place: succeed}
	s := startHome(t, r, o)
	if _, err := execute(s, false); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("store down: %v; want store_unavailable", err)
	}
	o.mu.Lock()
	o.highest = ident.HomeEpoch{Counter: 99, Process: "entry-2"}
	o.mu.Unlock()
	if _, err := execute(s, false); !fault.Is(err, fault.Interrupted) {
		t.Errorf("another home: %v; want interrupted", err)
	}
	if placed, _ := o.counts(); placed != 0 {
		t.Errorf("%d starts", placed)
	}
}
