package admission_test

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// noRoom states that jobs of the lowest priority wait.
func noRoom(wait time.Duration) admission.Statement {
	return admission.Statement{Levels: []admission.LevelState{{Level: heavyLevel, Wait: wait, RefusesExcess: true}}}
}

// TestGateAsksOnlyWithoutRoom guards against submissions that wait for the leader although there is room, and against ones that are stored
// without a decision although there is none.
func TestGateAsksOnlyWithoutRoom(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gate := &admission.Gate{}
	heavyJob := admission.Request{Account: "a", Level: heavyLevel}
	urgentJob := admission.Request{Account: "a", Level: admission.Level{Service: "desk"}}
	late := admission.Request{Level: heavyLevel, LatestStart: 5 * time.Second}
	if gate.MustAsk(heavyJob, now) || gate.MustAsk(late, now) {
		t.Error("the leader is asked before it has stated anything")
	}
	gate.Observe(noRoom(4*time.Second), now)
	if !gate.MustAsk(heavyJob, now) || gate.MustAsk(urgentJob, now) || gate.MustAsk(late, now) {
		t.Error("want the leader to be asked about the heavy job only")
	}
	gate.Observe(noRoom(6*time.Second), now)
	if !gate.MustAsk(late, now) {
		t.Error("the leader is not asked about a job that may be too late")
	}
	gate.Observe(admission.Statement{}, now.Add(time.Second))
	if gate.MustAsk(heavyJob, now.Add(time.Second)) {
		t.Error("the leader is asked although it states that there is room")
	}
}

// TestLostStatements replays the loss of the leader while there is no room. It guards against a process that goes on by a statement that
// nobody renews, and against one that goes back to an older statement.
func TestLostStatements(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gate := &admission.Gate{}
	job := admission.Request{Account: "a", Level: heavyLevel}
	gate.Observe(noRoom(4*time.Second), now)
	gate.Observe(admission.Statement{}, now.Add(-time.Second)) // its reply was late
	if !gate.MustAsk(job, now.Add(1900*time.Millisecond)) {
		t.Error("the statement is not used for 2 s")
	}
	if gate.MustAsk(job, now.Add(2100*time.Millisecond)) {
		t.Error("the statement is used after 2 s")
	}
}

// TestLossOfAllProcesses replays the loss of everything that is not stored, with a full queue and a flood. It guards against refusals by a
// leader that knows no rates, and against a flood that gets more than its share for longer than a few seconds.
func TestLossOfAllProcesses(t *testing.T) {
	l := newLeader()
	gate := &admission.Gate{}
	flood := &source{id: "large", share: 10, rate: 70}
	small := &source{id: "small", share: 2, rate: 1.5}
	admitted := 0
	for step := range 20 { // of 250 ms each, after the first process has started
		if step >= 8 { // the leader has heard of the runs that go on
			l.overload(20 * time.Second)
			gate.Observe(l.room.Statement(l.now), l.now)
		}
		if gate.MustAsk(admission.Request{Account: "large", Level: heavyLevel}, l.now) {
			l.replay([]*source{flood, small}, heavyLevel, 250*time.Millisecond)
			continue
		}
		if step >= 9 {
			t.Fatalf("jobs are still stored without a decision after %d ms", step*250)
		}
		admitted += 70 / 4
		l.now = l.now.Add(250 * time.Millisecond)
	}
	if small.refused > 0 {
		t.Errorf("%d jobs of the small account refused", small.refused)
	}
	if most := 10*3 + 10; flood.admitted > most {
		t.Errorf("%d jobs of the flood admitted in the 3 s since the leader knows of no room, want at most %d", flood.admitted, most)
	}
}

// TestRefusalsAreRemembered guards against a caller that returns after a refusal and is refused by the record of it, because the process did
// not know to read it.
func TestRefusalsAreRemembered(t *testing.T) {
	l := newLeader()
	l.room.NoteRefusal("a", l.now)
	gate := &admission.Gate{}
	gate.Observe(l.room.Statement(l.now), l.now)
	gate.Observe(admission.Statement{}, l.now.Add(500*time.Millisecond)) // of the next leader
	if !gate.MayHaveRefused("a", l.now.Add(11*time.Second)) || gate.MayHaveRefused("b", l.now) {
		t.Error("want refusals of the account to be looked for until its callers have returned")
	}
	if gate.MayHaveRefused("a", l.now.Add(time.Minute)) {
		t.Error("refusals are looked for after a minute")
	}
}

// TestLatestStart guards against a job that counts as too late by a rough estimate, and against times for jobs that have none.
func TestLatestStart(t *testing.T) {
	objective := route.Objective{Stretch: 2, Slack: time.Second}
	steps := []workflow.Step{
		{Count: 3, Estimate: time.Second},
		{Count: 1, Estimate: 2 * time.Second},
		{Count: 1, Estimate: 3 * time.Second, DependsOn: []int{0, 1}},
	}
	for name, test := range map[string]struct {
		spec      workflow.Spec
		objective route.Objective
		mean      time.Duration
		want      time.Duration
	}{
		"by the longest chain": {workflow.Spec{Steps: steps}, objective, 0, 3*(20+1)*time.Second - 10*time.Second},
		"by learned durations": {workflow.Spec{Steps: steps}, objective, 5 * time.Second, 3*(40+1)*time.Second - 20*time.Second},
		"no objective":         {workflow.Spec{Steps: steps}, route.Objective{}, 0, 0},
		"at set times":         {workflow.Spec{Steps: steps, Occurrences: 2}, objective, 0, 0},
		"no estimate":          {workflow.Spec{Steps: []workflow.Step{{Count: 1}}}, objective, time.Second, 0},
		"runs until cancelled": {workflow.Spec{Steps: []workflow.Step{{Count: 1, Estimate: 1, LongRunning: true}}}, objective, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := admission.LongestChain(&test.spec).LatestStart(test.objective, test.mean); got != test.want {
				t.Errorf("latest start after %v, want %v", got, test.want)
			}
		})
	}
}

// manyAccounts returns a leader that knows 350 accounts, and a gate that states that there is no room.
func manyAccounts() (*leader, *admission.Gate, []account.ID) {
	l := newLeader()
	l.overload(10 * time.Second)
	gate := &admission.Gate{}
	gate.Observe(noRoom(10*time.Second), l.now)
	ids := make([]account.ID, 350)
	for i := range ids {
		ids[i] = account.ID(fmt.Sprint("account-", i))
		l.submit(ids[i], 20, heavyLevel)
	}
	return l, gate, ids
}

// admitOnce does what one admission costs the process and the leader, without the call between them.
func admitOnce(l *leader, gate *admission.Gate, id account.ID, job workflow.ID) {
	gate.MayHaveRefused(id, l.now)
	gate.MustAsk(admission.Request{Account: id, Level: heavyLevel}, l.now)
	l.resubmit(job, id, 20, heavyLevel)
}

func jobIDs(n int) []workflow.ID {
	ids := make([]workflow.ID, n)
	for i := range ids {
		ids[i] = workflow.ID(fmt.Sprint("job-", i))
	}
	return ids
}

// TestAdmissionAllocatesNothing guards against admissions that cost memory in a process that has little of it.
func TestAdmissionAllocatesNothing(t *testing.T) {
	l, gate, ids := manyAccounts()
	jobs, i := jobIDs(2000), 0
	if n := testing.AllocsPerRun(1000, func() { admitOnce(l, gate, ids[i%len(ids)], jobs[i]); i++ }); n > 0 {
		t.Errorf("%v allocations for one admission, want none", n)
	}
}

func BenchmarkAdmission(b *testing.B) {
	l, gate, ids := manyAccounts()
	jobs := jobIDs(b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		admitOnce(l, gate, ids[i%len(ids)], jobs[i])
	}
}
