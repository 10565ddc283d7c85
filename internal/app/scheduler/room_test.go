package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

var wholeWorker = resource.Vector{MilliCores: 4000, MemoryBytes: 1 << 30}

// newSharedLeader returns a leader with two workers and an account that is entitled to one job per second.
func newSharedLeader(t *testing.T) *Scheduler {
	t.Helper()
	s := newLeader(t)
	accounts, err := account.NewSet([]account.Account{{ID: "a", Share: 1}, {ID: "b", Share: 1}})
	if err != nil {
		t.Fatal(err)
	}
	objective := route.Objective{Stretch: 2, Slack: time.Second}
	s.table.Apply(route.Config{Version: 1, Accounts: accounts, Queues: []route.Queue{
		{Name: "q", Service: "desk", MaxAttempts: 3, Objective: objective},
		{Name: "low", Service: "desk", MaxAttempts: 3, Priority: 2, Objective: objective},
	}})
	s.accounted = true
	return s
}

// acceptOf accepts a job of an account in the queue of the lowest priority, whose tasks need a whole worker for 10 s each.
func acceptOf(s *Scheduler, id workflow.ID, account account.ID, tasks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := workflow.Step{Count: tasks, Size: wholeWorker, Estimate: 10 * time.Second}
	s.acceptJob(port.AcceptedJob{
		Spec: workflow.Spec{ID: id, Steps: []workflow.Step{step}}, AcceptedAt: time.Now(), Account: account,
		Queue: route.Queue{Name: "low", Service: "desk", MaxAttempts: 3, Priority: 2},
	}, 0)
}

func observeRoomAt(s *Scheduler, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeRoom(now)
}

func heavyRequest(id workflow.ID, account account.ID) admission.Request {
	return admission.Request{
		Job: id, Account: account, Queue: "low", Level: admission.Level{Service: "desk", Priority: 2}, Size: wholeWorker, Count: 1,
	}
}

func admitAt(t *testing.T, s *Scheduler, r admission.Request) admission.Verdict {
	t.Helper()
	v, err := s.Admit(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestExcessIsRefusedWithoutRoom replays an account that has filled the workers and goes on beyond its share. It guards against excess that is
// taken in, against another account that pays for it, and against refusals that begin while workers are free.
func TestExcessIsRefusedWithoutRoom(t *testing.T) {
	s, now := newSharedLeader(t), time.Now()
	out := logged(s)
	if observeRoomAt(s, now); !s.room.stated.IsZero() {
		t.Fatalf("statement %+v with free workers", s.room.stated)
	}
	for i := range 3 {
		acceptOf(s, workflow.ID(fmt.Sprint("j", i)), "a", 2)
	}
	placeAt(s, now)
	observeRoomAt(s, now)
	if levels := s.room.stated.Levels; len(levels) != 1 || levels[0].Priority != 2 || !levels[0].RefusesExcess || levels[0].Wait != 20*time.Second {
		t.Errorf("levels %+v, want a wait of 20 s at priority 2: four tasks of 10 s wait for two workers", levels)
	}
	if v := admitAt(t, s, heavyRequest("new", "a")); v.Reason != admission.BeyondShare {
		t.Errorf("verdict %+v on a job beyond the share", v)
	}
	if v := admitAt(t, s, heavyRequest("other", "b")); v.Refused() {
		t.Errorf("the job of another account is refused: %+v", v)
	}
	if v := admitAt(t, s, heavyRequest("j2", "a")); v.Refused() {
		t.Errorf("a known job is refused: %+v", v)
	}
	if !strings.Contains(out.String(), `msg="no room for jobs beyond shares" service=desk priority=2 wait_ms=20000 used=1 waiting=2`) {
		t.Errorf("the lack of room is not logged:\n%s", out)
	}
	var state port.ProcessState
	if s.FillState(&state); state.RoomWaits[2] != 20*time.Second {
		t.Errorf("waits for room %v, want 20 s at priority 2", state.RoomWaits)
	}
}

// TestExcessIsMarked guards against jobs beyond a share that wait like the others while there is no room, whether the leader was asked
// about them or not, and against ones that wait behind others while there is.
func TestExcessIsMarked(t *testing.T) {
	s, now := newSharedLeader(t), time.Now()
	marked := func() int {
		n := 0
		for i := range 4 {
			job := port.AcceptedJob{Account: "a", AcceptedAt: now, Queue: route.Queue{Service: "desk", Priority: 2}}
			job.Spec.ID = workflow.ID(fmt.Sprint("j", i))
			s.countJob(&job, now)
			if s.countJob(&job, now); job.Excess { // announced twice
				n++
			}
		}
		return n
	}
	if n := marked(); n != 0 {
		t.Errorf("%d of 4 jobs marked while there is room", n)
	}
	acceptOf(s, "other", "b", 6)
	placeAt(s, now)
	observeRoomAt(s, now)
	if n := marked(); n != 2 {
		t.Errorf("%d of 4 jobs at once marked, want 2: the account may submit 2 at once", n)
	}
}

// TestLateNewsAreNotCounted replays the first announcements after seconds without a leader. It guards against jobs that count as one burst
// of their account because the leader learns of all of them at once.
func TestLateNewsAreNotCounted(t *testing.T) {
	s, now := newSharedLeader(t), time.Now()
	for i := range 10 {
		job := port.AcceptedJob{Account: "a", AcceptedAt: now.Add(-time.Duration(i+2) * time.Second)}
		job.Spec.ID = workflow.ID(fmt.Sprint("j", i))
		if s.countJob(&job, now); job.Excess {
			t.Errorf("job %d, accepted %d s ago, is marked", i, i+2)
		}
	}
}

// BenchmarkObserveRoom measures what the leader spends four times a second while 1000 steps wait for 350 full workers, with 350 accounts.
func BenchmarkObserveRoom(b *testing.B) {
	s, now := newLeaderFor(b), time.Now()
	s.table.Apply(route.Config{Version: 1, Queues: []route.Queue{{Name: "low", Service: "desk", Priority: 2, Objective: route.Objective{Stretch: 2}}}})
	for i := range 350 {
		addTestWorker(s, ident.WorkerID(fmt.Sprint("w", i)), 16000, now)
	}
	for i := range 1000 {
		s.room.shares.Take(workflow.ID(fmt.Sprint("j", i)), account.ID(fmt.Sprint("a", i%350)), 20, now)
		acceptOf(s, workflow.ID(fmt.Sprint("j", i)), "", 2)
	}
	s.accounted = true
	placeAt(s, now)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		observeRoomAt(s, now)
	}
}

// TestRoomIsNotStatedBeforeRunsAreKnown replays a new leader, whose workers run tasks that they have not reported yet. It guards against
// refusals by a leader that does not know what is free, and against an answer to a process that goes by its predecessor's statement.
func TestRoomIsNotStatedBeforeRunsAreKnown(t *testing.T) {
	s, now := newSharedLeader(t), time.Now()
	for i := range 3 {
		acceptOf(s, workflow.ID(fmt.Sprint("j", i)), "a", 2)
	}
	placeAt(s, now)
	s.accounted = false
	if observeRoomAt(s, now); !s.room.stated.IsZero() {
		t.Errorf("statement %+v", s.room.stated)
	}
	if v, err := s.Admit(t.Context(), heavyRequest("new", "a")); err == nil {
		t.Errorf("verdict %+v, want an error", v)
	}
}

// TestRoomWithoutAccountsAndObjectives guards against a deployment that asks for nothing of this and pays for it.
func TestRoomWithoutAccountsAndObjectives(t *testing.T) {
	s, now := newLeader(t), time.Now()
	s.table.Apply(route.Config{Version: 1, Queues: []route.Queue{{Name: "low", Service: "desk", Priority: 2}}})
	s.accounted = true
	for i := range 9 {
		acceptOf(s, workflow.ID(fmt.Sprint("j", i)), "", 4)
	}
	placeAt(s, now)
	if observeRoomAt(s, now); !s.room.stated.IsZero() {
		t.Errorf("statement %+v", s.room.stated)
	}
}

// TestLearnedDurations guards against an expected wait that goes by estimates that have turned out wrong.
func TestLearnedDurations(t *testing.T) {
	s, now := newSharedLeader(t), time.Now()
	acceptOf(s, "j0", "a", 6)
	placeAt(s, now)
	s.mu.Lock()
	for range 100 {
		s.history("low").Observe(40 * time.Second)
	}
	s.mu.Unlock()
	observeRoomAt(s, now)
	if wait := s.room.stated.Levels[0].Wait; wait != 40*time.Second {
		t.Errorf("expected wait %v, want 40 s: four tasks wait for two workers, and take half of what is typical", wait)
	}
}

// TestTasksBeyondAllWorkersTakeNoRoom replays an account whose tasks no worker can run beside one that uses all workers. It guards against
// jobs of others that are refused for good because of work that never starts.
func TestTasksBeyondAllWorkersTakeNoRoom(t *testing.T) {
	for name, step := range map[string]workflow.Step{
		"too large":     {Count: 100, Size: wholeWorker.Add(wholeWorker), Estimate: 10 * time.Second},
		"unknown label": {Count: 100, Size: wholeWorker, Estimate: 10 * time.Second, RequiredLabel: "none"},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newSharedLeader(t), time.Now()
			acceptOf(s, "j0", "a", 2) // fills the workers
			s.mu.Lock()
			s.acceptJob(port.AcceptedJob{
				Spec: workflow.Spec{ID: "never", Steps: []workflow.Step{step}}, AcceptedAt: time.Now(), Account: "b",
				Queue: route.Queue{Name: "low", Service: "desk", MaxAttempts: 3, Priority: 2},
			}, 0)
			s.mu.Unlock()
			placeAt(s, now)
			observeRoomAt(s, now)
			if !s.room.stated.IsZero() {
				t.Errorf("no room is stated: %+v", s.room.stated.Levels)
			}
		})
	}
}

// TestLateLeaderStatesNothing guards against a leader that is asked about every job while it does not keep up with its queue.
func TestLateLeaderStatesNothing(t *testing.T) {
	s, now := newSharedLeader(t), time.Now()
	for i := range 20 {
		acceptOf(s, workflow.ID(fmt.Sprintf("j%d", i)), "a", 2)
	}
	placeAt(s, now)
	if observeRoomAt(s, now); s.room.stated.IsZero() {
		t.Fatal("nothing is stated although the workers are full")
	}
	s.progress = placement.Progress{}
	s.progress.Observe(now.Add(-2*time.Second), 1)
	s.progress.Observe(now, 1)
	if observeRoomAt(s, now); !s.room.stated.IsZero() {
		t.Errorf("statement %+v of a leader that is behind", s.room.stated)
	}
}
