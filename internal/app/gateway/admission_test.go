package gateway_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/gateway"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// keyStore holds keys with revisions. Leases never end.
type keyStore struct {
	port.TxnStore
	revision ident.Revision
	keys     map[string]ident.Revision
	fails    map[string]fault.Kind // by prefix of a key that a transaction writes
}

func newKeyStore() *keyStore {
	return &keyStore{keys: map[string]ident.Revision{}, fails: map[string]fault.Kind{}}
}

func (k *keyStore) Grant(context.Context, time.Duration) (port.LeaseID, error) { return 1, nil }

func (k *keyStore) Get(_ context.Context, key string) (port.Entry, error) {
	if k.keys[key] == 0 {
		return port.Entry{}, fault.New(fault.NotFound, "no key")
	}
	return port.Entry{Key: key, Revision: k.keys[key]}, nil
}

func (k *keyStore) Commit(_ context.Context, txn port.Txn) (port.CommitResult, error) {
	for prefix, kind := range k.fails {
		if strings.HasPrefix(txn.Writes[0].Key, prefix) {
			return port.CommitResult{}, fault.New(kind, "store away")
		}
	}
	return k.commit(txn)
}

func (k *keyStore) commit(txn port.Txn) (port.CommitResult, error) {
	var result port.CommitResult
	failed := false
	for _, c := range txn.If {
		failed = failed || k.keys[c.Key] != c.Revision
		if k.keys[c.Key] > 0 {
			result.Current = append(result.Current, port.Entry{Key: c.Key, Revision: k.keys[c.Key]})
		}
	}
	if failed {
		return result, fault.New(fault.Conflict, "a condition is false")
	}
	k.revision++
	for _, w := range txn.Writes {
		k.keys[w.Key] = k.revision
	}
	return port.CommitResult{Revision: k.revision}, nil
}

// specCodec decodes each job as the one that was submitted.
type specCodec struct{ port.RecordCodec }

func (specCodec) EncodeJob(port.AcceptedJob) []byte { return nil }
func (specCodec) DecodeJob([]byte) (port.AcceptedJob, error) {
	return port.AcceptedJob{Spec: testSpec()}, nil
}

// decidingLeader answers every question with the verdict, or fails.
type decidingLeader struct {
	port.Scheduler
	verdict admission.Verdict
	err     error
	asked   []admission.Request
}

func (l *decidingLeader) Admit(_ context.Context, r admission.Request) (admission.Verdict, error) {
	l.asked = append(l.asked, r)
	return l.verdict, l.err
}
func (l *decidingLeader) Notify(context.Context, port.AcceptedJob) error { return nil }
func (l *decidingLeader) StoreJob(context.Context, port.AcceptedJob) error {
	return fault.New(fault.Unavailable, "no store")
}

func testSpec() workflow.Spec {
	return workflow.Spec{ID: "j", Steps: []workflow.Step{{Count: 2, Estimate: time.Second}}}
}

// overloadedGateway is a gateway that has been told that there is no room, and whose leader refuses everything.
type overloadedGateway struct {
	*gateway.Gateway
	store   *keyStore
	leader  *decidingLeader
	gate    *admission.Gate
	log     *bytes.Buffer
	refused []admission.Reason
}

func newOverloadedGateway() *overloadedGateway {
	o := &overloadedGateway{store: newKeyStore(), gate: &admission.Gate{}, log: &bytes.Buffer{}}
	o.leader = &decidingLeader{verdict: admission.Verdict{Reason: admission.BeyondShare, RetryAfter: 4 * time.Second, Excess: true, Share: 2}}
	o.Gateway = gateway.New(o.store, specCodec{}, o.leader, &route.Table{}, slog.New(slog.NewTextHandler(o.log, nil)))
	o.RefuseBy(o.gate, func(_ account.ID, reason admission.Reason) { o.refused = append(o.refused, reason) })
	level := admission.Level{Service: "desk", Priority: 2}
	o.gate.Observe(admission.Statement{Levels: []admission.LevelState{{Level: level, Wait: time.Minute, RefusesExcess: true}}}, time.Now())
	return o
}

func overloadedCaller() gateway.Caller {
	return gateway.Caller{Queue: route.Queue{Name: "q", Service: "desk", Priority: 2}, Account: "a"}
}

// TestRefusalBeforeStoring replays a submission beyond its account's share while there is no room. It guards against a refused job that is
// stored, and against a refusal that does not say when to return.
func TestRefusalBeforeStoring(t *testing.T) {
	o := newOverloadedGateway()
	err := o.Submit(t.Context(), overloadedCaller(), testSpec())
	after, _ := fault.RetryAfterOf(err)
	if !fault.Is(err, fault.QuotaExceeded) || after != 4*time.Second {
		t.Errorf("error %v, retry after %v; want a refusal for 4 s", err, after)
	}
	if o.store.keys[port.JobPrefix+"j"] != 0 || len(o.refused) != 1 {
		t.Errorf("keys %v, observed %v; want no job and one refusal", o.store.keys, o.refused)
	}
	if !strings.Contains(o.log.String(), `msg="job refused" job=j queue=q account=a kind=beyond_share rate=0 share=2`) {
		t.Errorf("the refusal is not logged:\n%s", o.log)
	}
}

// TestRefusedCallerReturns guards against a caller that is never served after a refusal, because it comes back with the same id.
func TestRefusedCallerReturns(t *testing.T) {
	o := newOverloadedGateway()
	_ = o.Submit(t.Context(), overloadedCaller(), testSpec())
	o.leader.verdict = admission.Verdict{}
	if err := o.Submit(t.Context(), overloadedCaller(), testSpec()); err != nil {
		t.Errorf("the caller returns and is refused again: %v", err)
	}
	if o.store.keys[port.JobPrefix+"j"] == 0 {
		t.Error("the job is not stored")
	}
}

// TestStoredJobIsNotRefused replays a second submission after the answer to the first one was lost, before the leader has learned of the job.
// It guards against a refusal of a job that runs.
func TestStoredJobIsNotRefused(t *testing.T) {
	o := newOverloadedGateway()
	o.store.keys[port.JobPrefix+"j"] = 1
	if err := o.Submit(t.Context(), overloadedCaller(), testSpec()); err != nil {
		t.Errorf("a stored job is refused: %v", err)
	}
}

// TestRefusalStopsEarlierWrite replays a write of an earlier submission that reaches the store after the refusal of a later one. It guards
// against a job that runs although its caller was told that it never does.
func TestRefusalStopsEarlierWrite(t *testing.T) {
	o := newOverloadedGateway()
	var late port.Txn
	first := gateway.New(delayingStore{o.store, &late}, specCodec{}, o.leader, &route.Table{}, slog.New(slog.DiscardHandler))
	first.RefuseBy(&admission.Gate{}, nil) // has not heard of the lack of room
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := first.Submit(ctx, overloadedCaller(), testSpec()); !fault.Is(err, fault.Interrupted) {
		t.Fatalf("the first submission ends with %v, want an unknown outcome", err)
	}
	if err := o.Submit(t.Context(), overloadedCaller(), testSpec()); !fault.Is(err, fault.QuotaExceeded) {
		t.Fatalf("the second submission ends with %v, want a refusal", err)
	}
	if _, err := o.store.commit(late); !fault.Is(err, fault.Conflict) || o.store.keys[port.JobPrefix+"j"] != 0 {
		t.Errorf("the late write ends with %v; want it to have no effect", err)
	}
}

// delayingStore keeps writes of jobs back and gives no answer to them.
type delayingStore struct {
	*keyStore
	late *port.Txn
}

func (d delayingStore) Commit(_ context.Context, txn port.Txn) (port.CommitResult, error) {
	*d.late = txn
	return port.CommitResult{}, fault.New(fault.Interrupted, "no answer")
}

// TestPausedProcessDoesNotStore replays a process that was paused between the arrival of a request and its write, while the caller gave up and
// was refused elsewhere. It guards against a process that takes the refusal for one from before the request.
func TestPausedProcessDoesNotStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverloadedGateway()
		early, cancel := gateway.WithResponseMargin(t.Context(), time.Minute)
		defer cancel()
		_ = o.Submit(t.Context(), overloadedCaller(), testSpec()) // refused
		time.Sleep(3 * time.Second)
		o.leader.verdict = admission.Verdict{}
		if err := o.Submit(early, overloadedCaller(), testSpec()); !fault.Is(err, fault.QuotaExceeded) {
			t.Errorf("the paused request ends with %v, want a refusal", err)
		}
		if o.store.keys[port.JobPrefix+"j"] != 0 {
			t.Error("the job is stored")
		}
	})
}

// TestStoredJobOfSlowRequest replays a caller that returned after a refusal, was accepted, and whose request arrives once more while the store is
// slow. It guards against a refusal of a job that runs.
func TestStoredJobOfSlowRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverloadedGateway()
		_ = o.Submit(t.Context(), overloadedCaller(), testSpec()) // refused
		o.store.keys[port.JobPrefix+"j"] = 9
		slow, cancel := gateway.WithResponseMargin(t.Context(), time.Minute)
		defer cancel()
		time.Sleep(time.Second)
		if err := o.Submit(slow, overloadedCaller(), testSpec()); err != nil {
			t.Errorf("a stored job is refused: %v", err)
		}
	})
}

// TestUnheardOfRefusal replays a caller that returns to a process that has not heard of refusals. It guards against a write that is repeated in
// vain until the caller's time is over, and against a caller that is never served.
func TestUnheardOfRefusal(t *testing.T) {
	o := newOverloadedGateway()
	_ = o.Submit(t.Context(), overloadedCaller(), testSpec())
	gate := &admission.Gate{}
	other := gateway.New(o.store, specCodec{}, o.leader, &route.Table{}, slog.New(slog.DiscardHandler))
	other.RefuseBy(gate, nil)
	err := other.Submit(t.Context(), overloadedCaller(), testSpec())
	if after, _ := fault.RetryAfterOf(err); !fault.Is(err, fault.QuotaExceeded) || after != time.Second {
		t.Errorf("error %v, want a refusal for 1 s", err)
	}
	if err := other.Submit(t.Context(), overloadedCaller(), testSpec()); err != nil {
		t.Errorf("the caller returns once more and is refused: %v", err)
	}
}

// TestUncertainRefusal replays a lack of room while the leader or the store does not answer. It guards against a refusal that may not be true,
// and against one that nobody has decided on.
func TestUncertainRefusal(t *testing.T) {
	undecided := newOverloadedGateway()
	undecided.leader.err = fault.New(fault.NotReady, "no leader")
	unrecorded := newOverloadedGateway()
	unrecorded.store.fails[port.RefusedPrefix] = fault.Unavailable
	unrecorded.Gateway = gateway.New(unrecorded.store, specCodec{}, unrecordingLeader{unrecorded.leader}, &route.Table{}, slog.New(slog.DiscardHandler))
	unrecorded.RefuseBy(unrecorded.gate, nil)
	for name, o := range map[string]*overloadedGateway{"leader does not decide": undecided, "store does not record": unrecorded} {
		t.Run(name, func(t *testing.T) {
			if err := o.Submit(t.Context(), overloadedCaller(), testSpec()); err != nil {
				t.Errorf("the job is refused: %v", err)
			}
			if o.store.keys[port.JobPrefix+"j"] == 0 {
				t.Error("the job is not stored")
			}
		})
	}
}

// unrecordingLeader decides, and cannot record refusals.
type unrecordingLeader struct{ *decidingLeader }

func (l unrecordingLeader) Admit(ctx context.Context, r admission.Request) (admission.Verdict, error) {
	if r.Record {
		return admission.Verdict{}, fault.New(fault.Unavailable, "store away")
	}
	return l.decidingLeader.Admit(ctx, r)
}

// TestRefusalThroughLeader replays a process that the store turns away. It guards against excess that is admitted through such processes.
func TestRefusalThroughLeader(t *testing.T) {
	o := newOverloadedGateway()
	o.store.fails[port.RefusedPrefix] = fault.Unavailable
	if err := o.Submit(t.Context(), overloadedCaller(), testSpec()); !fault.Is(err, fault.QuotaExceeded) {
		t.Errorf("error %v, want a refusal that the leader has recorded", err)
	}
	if n := len(o.leader.asked); n != 2 || !o.leader.asked[1].Record {
		t.Errorf("questions %+v, want the second one to request the record", o.leader.asked)
	}
}

// TestNothingIsAskedWithRoom guards against submissions that depend on the leader while there is room, and without accounts or an
// objective.
func TestNothingIsAskedWithRoom(t *testing.T) {
	o := newOverloadedGateway()
	plain := overloadedCaller()
	plain.Account = ""
	urgent := overloadedCaller()
	urgent.Queue.Priority = 0
	for i, caller := range []gateway.Caller{plain, urgent} {
		spec := testSpec()
		spec.ID = workflow.ID(rune('a' + i))
		if err := o.Submit(t.Context(), caller, spec); err != nil {
			t.Error(err)
		}
	}
	if len(o.leader.asked) > 0 {
		t.Errorf("the leader was asked about %+v", o.leader.asked)
	}
}

// TestUnheardOfRefusalStopsEarlierWrite replays a caller that returns after a refusal, whose write loses its answer and is still on its way
// when the caller returns once more, to a process that has not heard of refusals. It guards against a refusal of a job that runs later.
func TestUnheardOfRefusalStopsEarlierWrite(t *testing.T) {
	o := newOverloadedGateway()
	_ = o.Submit(t.Context(), overloadedCaller(), testSpec()) // refused
	var late port.Txn
	returned := gateway.New(delayingStore{o.store, &late}, specCodec{}, o.leader, &route.Table{}, slog.New(slog.DiscardHandler))
	heard := &admission.Gate{}
	heard.NoteRefusal("a", time.Now())
	returned.RefuseBy(heard, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := returned.Submit(ctx, overloadedCaller(), testSpec()); !fault.Is(err, fault.Interrupted) {
		t.Fatalf("the second submission ends with %v, want an unknown outcome", err)
	}
	other := gateway.New(o.store, specCodec{}, o.leader, &route.Table{}, slog.New(slog.DiscardHandler))
	other.RefuseBy(&admission.Gate{}, nil)
	if err := other.Submit(t.Context(), overloadedCaller(), testSpec()); !fault.Is(err, fault.QuotaExceeded) {
		t.Fatalf("the third submission ends with %v, want a refusal", err)
	}
	if _, err := o.store.commit(late); !fault.Is(err, fault.Conflict) || o.store.keys[port.JobPrefix+"j"] != 0 {
		t.Errorf("the late write ends with %v; want it to have no effect", err)
	}
}

// TestUnheardOfRefusalThatCannotBeRenewed replays the same while the store does not record refusals. It guards against a refusal that may
// not be true.
func TestUnheardOfRefusalThatCannotBeRenewed(t *testing.T) {
	o := newOverloadedGateway()
	_ = o.Submit(t.Context(), overloadedCaller(), testSpec()) // refused
	o.store.fails[port.RefusedPrefix] = fault.Unavailable
	other := gateway.New(o.store, specCodec{}, o.leader, &route.Table{}, slog.New(slog.DiscardHandler))
	other.RefuseBy(&admission.Gate{}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := other.Submit(ctx, overloadedCaller(), testSpec()); !fault.Is(err, fault.Interrupted) {
		t.Errorf("the submission ends with %v, want an unknown outcome", err)
	}
}

// newSheddingGateway is a gateway that has been told that the leader starts less than is asked, and that all jobs of a level are refused for that.
func newSheddingGateway() *overloadedGateway {
	o := newOverloadedGateway()
	o.leader.err = fault.New(fault.DeadlineExceeded, "the leader is late")
	level := admission.Level{Service: "desk", Priority: 2}
	shedding := admission.Shedding{Refused: 1, Wait: 3 * time.Second}
	o.gate.Observe(admission.Statement{Levels: []admission.LevelState{{Level: level, Shedding: shedding}}}, time.Now())
	return o
}

func objectiveCaller() gateway.Caller {
	caller := overloadedCaller()
	caller.Queue.Objective = route.Objective{Stretch: 2, Slack: time.Second}
	return caller
}

// TestSlowLeaderIsNotAsked replays a submission while the leader starts less than is asked. It guards against jobs that are stored because a leader
// without time does not answer, and against a refusal that does not say when to return.
func TestSlowLeaderIsNotAsked(t *testing.T) {
	o := newSheddingGateway()
	err := o.Submit(t.Context(), objectiveCaller(), testSpec())
	after, _ := fault.RetryAfterOf(err)
	if !fault.Is(err, fault.Overloaded) || after < 3*time.Second || after > 10*time.Second {
		t.Errorf("error %v, retry after %v; want a refusal for the expected wait, 3 s, or more", err, after)
	}
	if len(o.leader.asked) > 0 || o.store.keys[port.JobPrefix+"j"] != 0 || len(o.refused) != 1 || o.refused[0] != admission.LeaderBehind {
		t.Errorf("asked %v, keys %v, observed %v; want nobody asked, no job and one refusal", o.leader.asked, o.store.keys, o.refused)
	}
}

// TestSheddingTakesInTheRest guards against refusals of jobs that lose nothing by waiting, or that are stored, and against ones by a statement that is
// too old.
func TestSheddingTakesInTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lasting := testSpec()
		lasting.ID, lasting.Steps[0].LongRunning, lasting.Steps[0].Estimate = "lasting", true, 0
		stored := newSheddingGateway()
		stored.store.keys[port.JobPrefix+"j"] = 1
		outdated := newSheddingGateway()
		time.Sleep(3 * time.Second)
		fresh := newSheddingGateway()
		for name, test := range map[string]struct {
			gateway *overloadedGateway
			caller  gateway.Caller
			spec    workflow.Spec
		}{
			"long-running job":   {fresh, objectiveCaller(), lasting},
			"without objective":  {fresh, overloadedCaller(), testSpec()},
			"outdated statement": {outdated, objectiveCaller(), testSpec()},
			"stored job":         {stored, objectiveCaller(), testSpec()},
		} {
			if err := test.gateway.Submit(t.Context(), test.caller, test.spec); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	})
}

// TestCallerReturnsAfterShedding replays a caller that was refused by one process because the leader starts less than is asked, and returns to
// another one once the leader keeps up. It guards against a caller that is refused again because of the first refusal.
func TestCallerReturnsAfterShedding(t *testing.T) {
	o := newSheddingGateway()
	_ = o.Submit(t.Context(), objectiveCaller(), testSpec())
	gate := &admission.Gate{}
	level := admission.LevelState{Level: admission.Level{Service: "desk", Priority: 2}, Shedding: admission.Shedding{Refused: 0.1}}
	gate.Observe(admission.Statement{Levels: []admission.LevelState{level}}, time.Now())
	gate.Observe(admission.Statement{}, time.Now())
	other := gateway.New(o.store, specCodec{}, o.leader, &route.Table{}, slog.New(slog.DiscardHandler))
	other.RefuseBy(gate, nil)
	if err := other.Submit(t.Context(), objectiveCaller(), testSpec()); err != nil {
		t.Errorf("the caller returns and is refused again: %v", err)
	}
}
