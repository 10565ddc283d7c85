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

// memoryJournal is an in-memory journal.
type memoryJournal struct {
	mu     sync.Mutex
	stored []journal.Record
	fail   error // returned by every append, if set
}

func (r *memoryJournal) Append(_ context.Context, _ ident.PartitionID, added ...journal.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fail != nil {
		return r.fail
	}
	r.stored = append(r.stored, added...)
	return nil
}

func (r *memoryJournal) TakeOver(_ context.Context, partition ident.PartitionID) ([]journal.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partition != order.Partition() {
		return nil, nil
	}
	var records []journal.Record
	for _, record := range r.stored {
		if record.Kind == journal.Canceled { // withdraws the intent, which is the last record of the only request
			records = records[:len(records)-1]
			continue
		}
		records = append(records, record)
	}
	return records, nil
}

func (r *memoryJournal) kinds() []journal.Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kinds []journal.Kind
	for _, record := range r.stored {
		kinds = append(kinds, record.Kind)
	}
	return kinds
}

// fakeOwner is the only process of the cell and holds the attempts that the test sets.
type fakeOwner struct {
	port.Peers
	mu      sync.Mutex
	held    []port.HeldAttempt
	highest ident.HomeEpoch // home epoch of another process that it has seen
	place   func(port.Place) (work.Outcome, error)
	placed  int // calls that started an attempt
	acked   int // acknowledged outcomes

	ownsFrom time.Time // until then the process owns no workers
}

func (o *fakeOwner) TakeHome(_ context.Context, _ ident.ProcessID, call port.TakeHome) (port.TakeHomeReply, error) {
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

func (o *fakeOwner) Place(_ context.Context, _ ident.ProcessID, call port.Place) (work.Outcome, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !call.Attach {
		o.placed++
	}
	return o.place(call)
}

func (o *fakeOwner) AckOutcomes(_ context.Context, _ ident.ProcessID, tasks []ident.TaskID) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked += len(tasks)
	return nil
}

func (o *fakeOwner) counts() (placed, acked int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.placed, o.acked
}

type noWorkers struct{}

func (noWorkers) List(context.Context) ([]port.VM, error) { return nil, nil }

// startHome starts a home service of all partitions that runs until the test ends.
func startHome(t *testing.T, j home.Journal, o *fakeOwner) *home.Service {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	dir := directory.New(noWorkers{}, log)
	never := make(chan struct{})
	s := home.New(home.Config{
		Self: "entry-1", Membership: membership.New(membership.Peer{ID: "entry-1"}, membership.Settings{}),
		LiveChanged: func() <-chan struct{} { return never }, Heartbeats: func() []port.Heartbeat { return nil },
		Digest: func(now time.Time) fleet.Digest {
			if now.Before(o.ownsFrom) {
				return fleet.Digest{}
			}
			return fleet.Digest{Capacity: resource.Vector{Slots: 1}, Free: resource.Vector{Slots: 1}}
		},
		Directory: dir, Peers: o, Journal: j, Recorder: timeline.NewRecorder("entry-1", 100), Log: log,
		TaskLeaseBound: time.Minute,
		RetryLimiter:   rate.NewLimiter(rate.Inf, 1),
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

func expectKinds(t *testing.T, r *memoryJournal, want ...journal.Kind) {
	t.Helper()
	got := r.kinds()
	if len(got) != len(want) {
		t.Fatalf("journal has records of kinds %v; want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("journal has records of kinds %v; want %v", got, want)
		}
	}
}

// TestIntentAndOutcome guards the order of steps for work that is not repeatable: record the intent, start the work,
// record the outcome, and only then let the owner discard the outcome.
func TestIntentAndOutcome(t *testing.T) {
	r, o := &memoryJournal{}, &fakeOwner{}
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
		t.Errorf("placed %d times; want 1", placed)
	}
}

// TestIntentWithoutOutcome guards guarantees 4 and 5 after a takeover: an intent whose attempt no owner holds must end
// with unknown_outcome and never be started, and one whose attempt is held must get the outcome of that attempt.
func TestIntentWithoutOutcome(t *testing.T) {
	r, o := &memoryJournal{stored: []journal.Record{intent()}}, &fakeOwner{place: succeed}
	_, err := execute(startHome(t, r, o), false)
	if !fault.Is(err, fault.UnknownOutcome) {
		t.Errorf("attempt not held: error %v; want unknown_outcome", err)
	}
	expectKinds(t, r, journal.Intent, journal.Outcome)

	held := port.HeldAttempt{Task: ident.TaskID{Work: order}, Attempt: 5, Worker: "worker-1"}
	r2, o2 := &memoryJournal{stored: []journal.Record{intent()}},
		&fakeOwner{place: succeed, held: []port.HeldAttempt{held}}
	outcome, err := execute(startHome(t, r2, o2), false)
	if err != nil || outcome.Attempt != 5 {
		t.Errorf("attempt held: outcome of attempt %d, error %v; want attempt 5", outcome.Attempt, err)
	}
	expectKinds(t, r2, journal.Intent, journal.Outcome)
	placed, _ := o.counts()
	placed2, acked := o2.counts()
	for i := 0; acked == 0 && i < 100; i++ {
		time.Sleep(10 * time.Millisecond)
		_, acked = o2.counts()
	}
	if placed+placed2 != 0 || acked != 1 {
		t.Errorf("%d starts, %d outcomes acknowledged; want 0 and 1", placed+placed2, acked)
	}
}

// TestLostPlacement guards against starting work twice that is not repeatable: an attempt whose call was interrupted
// and which no owner holds must be started again only if it is repeatable.
func TestLostPlacement(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		r, o := &memoryJournal{}, &fakeOwner{}
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

// TestRefusedIntent guards guarantee 4: a request whose intent could not be stored must not be started, and its error
// must state that it did not run, unless a later home may have run it.
func TestRefusedIntent(t *testing.T) {
	r, o := &memoryJournal{fail: fault.New(fault.Interrupted, "commit may have taken effect")}, &fakeOwner{place: succeed}
	s := startHome(t, r, o)
	if _, err := execute(s, false); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("store down: error %v; want store_unavailable", err)
	}
	o.mu.Lock()
	o.highest = ident.HomeEpoch{Counter: 99, Process: "entry-2"}
	o.mu.Unlock()
	if _, err := execute(s, false); !fault.Is(err, fault.Interrupted) {
		t.Errorf("higher home epoch seen: error %v; want interrupted", err)
	}
	if placed, _ := o.counts(); placed != 0 {
		t.Errorf("%d starts; want none", placed)
	}
}

// TestAdoptedAttemptEnds guards against a repeatable request that fails because its attempt, which a previous home had
// placed, was evicted or lost: the error must not state that the request did not run, and the retry must run it.
func TestAdoptedAttemptEnds(t *testing.T) {
	held := port.HeldAttempt{Task: ident.TaskID{Work: order}, Attempt: 5, Worker: "worker-1"}
	for name, end := range map[string]func(*fakeOwner, port.Place) (work.Outcome, error){
		"evicted": func(_ *fakeOwner, call port.Place) (work.Outcome, error) {
			return work.Outcome{Task: call.Spec.ID, Attempt: call.Spec.Attempt, Message: work.EvictedMessage}, nil
		},
		"lost": func(o *fakeOwner, _ port.Place) (work.Outcome, error) {
			o.held = nil
			return work.Outcome{}, fault.New(fault.NotFound, "not held")
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := &fakeOwner{held: []port.HeldAttempt{held}}
			joined := make(chan struct{})
			o.place = func(call port.Place) (work.Outcome, error) {
				if !call.Attach {
					return succeed(call)
				}
				<-joined
				return end(o, call)
			}
			s := startHome(t, &memoryJournal{}, o)
			time.AfterFunc(50*time.Millisecond, func() { close(joined) }) // until then the first call joins the adopted request
			outcome, err := execute(s, true)
			if fault.Is(err, fault.Interrupted) {
				outcome, err = execute(s, true)
			}
			if err != nil || string(outcome.Output) != "printed" {
				t.Errorf("output %q, error %v; want the output of a new attempt, after interrupted", outcome.Output, err)
			}
			if placed, _ := o.counts(); placed != 1 {
				t.Errorf("%d attempts started by this home; want 1", placed)
			}
		})
	}
}

// TestNoOwnerYet guards against a request that is refused while no process owns workers, as after the failure of an owner,
// although its deadline allows it to wait for the next owner. If there is none for long, the request must not start.
func TestNoOwnerYet(t *testing.T) {
	o := &fakeOwner{place: succeed, ownsFrom: time.Now().Add(500 * time.Millisecond)}
	if outcome, err := execute(startHome(t, &memoryJournal{}, o), true); err != nil || string(outcome.Output) != "printed" {
		t.Errorf("owner after 0.5 s: output %q, error %v", outcome.Output, err)
	}
	o = &fakeOwner{place: succeed, ownsFrom: time.Now().Add(time.Hour)}
	if _, err := execute(startHome(t, &memoryJournal{}, o), true); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("no owner until the deadline: error %v; want no_capacity", err)
	}
	if placed, _ := o.counts(); placed != 0 {
		t.Errorf("%d attempts started without an owner; want 0", placed)
	}
}

// TestFencedBeforeStart guards against a request that is not repeatable and ends with unknown_outcome although it was never
// started: its home was fenced at the owner after it had recorded the intent.
func TestFencedBeforeStart(t *testing.T) {
	r, o := &memoryJournal{}, &fakeOwner{}
	o.place = func(call port.Place) (work.Outcome, error) {
		if o.placed == 1 {
			o.highest = ident.HomeEpoch{Counter: call.Home.Counter + 5, Process: "entry-2"}
			return work.Outcome{}, fault.New(fault.StaleEpoch, "a higher home epoch was seen")
		}
		return succeed(call)
	}
	s := startHome(t, r, o)
	outcome, err := execute(s, false)
	for end := time.Now().Add(10 * time.Second); fault.Is(err, fault.Interrupted) && time.Now().Before(end); {
		outcome, err = execute(s, false) // as the entry does
	}
	if err != nil || string(outcome.Output) != "printed" {
		t.Errorf("output %q, error %v; want the output of the second placement", outcome.Output, err)
	}
	if placed, _ := o.counts(); placed != 2 {
		t.Errorf("placed %d times; want 2", placed)
	}
	expectKinds(t, r, journal.Intent, journal.Canceled, journal.Intent, journal.Outcome)
}
