package admission_test

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/workflow"
)

// startKind is a kind of jobs in the replays of a leader that limits the starts.
type startKind struct {
	priority int
	jobs     float64 // per second
	tasks    int     // of each job
	maxWait  time.Duration
}

var startKinds = []startKind{
	{priority: 0, jobs: 40, tasks: 20, maxWait: 750 * time.Millisecond},
	{priority: 2, jobs: 6, tasks: 80, maxWait: 5 * time.Second},
}

// startJob is a job that waits for its tasks to start.
type startJob struct {
	submitted time.Time
	left      int
}

// startLeader starts a number of tasks a second, the highest priority first, and takes in jobs as the Shedder says with the delay of a ping.
type startLeader struct {
	shedder  admission.Shedder
	capacity float64 // starts per second
	credit   float64
	waiting  map[int][]*startJob
	stated   []map[int]admission.Shedding // of the last observations
	now      time.Time
	started  int
	intake   map[int]admission.Intake
	due      []float64
	jobs     int
	counts   map[int]*startCounts
	counted  time.Time // jobs submitted before do not count
}

type startCounts struct{ asked, refused, inTime, late int }

func newStartLeader(capacity float64) *startLeader {
	l := &startLeader{
		capacity: capacity, waiting: map[int][]*startJob{}, now: time.Unix(1_700_000_000, 0), due: make([]float64, len(startKinds)),
		intake: map[int]admission.Intake{},
	}
	l.reset()
	return l
}

// reset counts anew.
func (l *startLeader) reset() {
	l.counts, l.counted = map[int]*startCounts{}, l.now
	for _, k := range startKinds {
		l.counts[k.priority] = &startCounts{}
	}
}

// run replays the kinds at a multiple of their rates. The leader states what it decided two observations ago.
func (l *startLeader) run(length time.Duration, load float64) {
	const tick, observation = 5 * time.Millisecond, 250 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		for i, k := range startKinds {
			for l.due[i] += load * k.jobs * tick.Seconds(); l.due[i] >= 1; l.due[i]-- {
				l.submit(k)
			}
		}
		l.credit = min(l.credit+l.capacity*tick.Seconds(), 1+l.capacity*tick.Seconds())
		for _, k := range startKinds {
			l.start(k)
		}
		if l.now = l.now.Add(tick); elapsed%observation == 0 {
			l.observe()
		}
	}
}

func (l *startLeader) submit(k startKind) {
	l.jobs++
	counts := l.counts[k.priority]
	counts.asked++
	if len(l.stated) > 2 {
		if _, refused := l.stated[len(l.stated)-3][k.priority].Refuses(workflow.ID(fmt.Sprint("j", l.jobs))); refused {
			counts.refused++
			return
		}
	}
	l.intake[k.priority] = admission.Intake{Sheddable: l.intake[k.priority].Sheddable + k.tasks}
	l.waiting[k.priority] = append(l.waiting[k.priority], &startJob{l.now, k.tasks})
}

func (l *startLeader) start(k startKind) {
	for jobs := l.waiting[k.priority]; l.credit >= 1 && len(jobs) > 0; jobs = l.waiting[k.priority] {
		l.credit, l.started = l.credit-1, l.started+1
		if jobs[0].left--; jobs[0].left > 0 {
			continue
		}
		l.waiting[k.priority] = jobs[1:]
		switch late := l.now.Sub(jobs[0].submitted) > k.maxWait+250*time.Millisecond; {
		case jobs[0].submitted.Before(l.counted):
		case late:
			l.counts[k.priority].late++
		default:
			l.counts[k.priority].inTime++
		}
	}
}

func (l *startLeader) observe() {
	var backlogs []admission.StartBacklog
	behind := false
	for _, k := range startKinds {
		b := admission.StartBacklog{Priority: k.priority, MaxWait: k.maxWait}
		for _, job := range l.waiting[k.priority] {
			b.Tasks += job.left
		}
		behind = behind || b.Tasks > 200
		backlogs = append(backlogs, b)
	}
	l.shedder.Observe(l.now, l.started, l.intake, backlogs, behind)
	stated := map[int]admission.Shedding{}
	for _, k := range startKinds {
		stated[k.priority] = l.shedder.Shedding(k.priority)
	}
	l.stated, l.started, l.intake = append(l.stated, stated), 0, map[int]admission.Intake{}
}

// TestLeaderStartsLessThanIsAsked replays load beyond what the leader can start. It guards against a service that falls faster than the
// rate of starts, and against a priority that gets nothing while another is served whole.
func TestLeaderStartsLessThanIsAsked(t *testing.T) {
	for _, part := range []float64{0.8, 0.65, 0.5, 0.3} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			l := newStartLeader(part * 1280)
			l.run(10*time.Second, 1)
			l.reset()
			l.run(40*time.Second, 1)
			for priority, c := range l.counts {
				served := float64(c.inTime) / float64(c.asked)
				t.Logf("priority %d: %+v, %.2f in time", priority, *c, served)
				if served < 0.8*part {
					t.Errorf("priority %d: %.2f of the jobs in time, want at least four fifths of what the leader can start, %.2f", priority, served, part)
				}
			}
		})
	}
}

// TestBurstBeyondTheStarts replays a burst of 4 s at twice what the leader can start. It guards against refusals that last, and against a load
// below the rate of starts that pays for them.
func TestBurstBeyondTheStarts(t *testing.T) {
	l := newStartLeader(1600)
	l.run(10*time.Second, 1)
	if l.counts[0].refused+l.counts[2].refused > 0 {
		t.Errorf("%+v and %+v refused without overload", *l.counts[0], *l.counts[2])
	}
	l.run(4*time.Second, 2.5)
	if l.counts[0].refused == 0 {
		t.Error("nothing is refused in the burst")
	}
	l.run(10*time.Second, 1)
	l.reset()
	l.run(10*time.Second, 1)
	l.run(10*time.Second, 0)
	if l.shedder.Active() {
		t.Error("jobs may still be refused 20 s after the burst")
	}
	for priority, c := range l.counts {
		if c.refused > 0 || c.inTime != c.asked {
			t.Errorf("priority %d, 10 s after the burst: %+v, want all in time", priority, *c)
		}
	}
}

// TestLongWaitOfLowPriority replays urgent load that takes nearly all starts for some seconds. It guards against urgent jobs that are refused
// although those of the lower priority can still wait.
func TestLongWaitOfLowPriority(t *testing.T) {
	l := newStartLeader(1280)
	l.run(5*time.Second, 1)
	l.run(2*time.Second, 1.4)
	l.run(10*time.Second, 0.9)
	if c := l.counts[0]; c.refused > 0 {
		t.Errorf("urgent jobs: %+v, want none refused", *c)
	}
}

// TestUrgentJobsGiveUpTheirPart replays a backlog of the lowest priority that takes a minute. It guards against urgent jobs that are refused until it is
// gone, rather than by what is submitted beyond the starts.
func TestUrgentJobsGiveUpTheirPart(t *testing.T) {
	l := newStartLeader(1280)
	for range 900 {
		l.waiting[2] = append(l.waiting[2], &startJob{l.now, 80})
	}
	l.run(20*time.Second, 1)
	if c := l.counts[0]; c.refused == 0 || c.refused > c.asked/2 {
		t.Errorf("urgent jobs: %+v, want some refused and fewer than half", *c)
	}
}

// TestPauseIsNoOverload replays a leader that was paused for 2 s. It guards against refusals by what has piled up in the pause.
func TestPauseIsNoOverload(t *testing.T) {
	l := newStartLeader(4000)
	l.run(5*time.Second, 1)
	for range 200 { // nothing is started or observed for 2 s
		for i, k := range startKinds {
			if l.due[i] += k.jobs / 100; l.due[i] >= 1 {
				l.due[i]--
				l.submit(k)
			}
		}
		l.now = l.now.Add(10 * time.Millisecond)
	}
	l.run(10*time.Second, 1)
	for priority, c := range l.counts {
		if c.refused > 0 {
			t.Errorf("priority %d: %+v, want none refused", priority, *c)
		}
	}
}

// TestReturnsAfterShedding guards against callers that return before the leader has worked off what waits, or all at once, and against an id
// whose verdict changes although nothing else has.
func TestReturnsAfterShedding(t *testing.T) {
	shedding := admission.Shedding{Refused: 0.4, Wait: 3 * time.Second}
	refused, inSecond := 0, map[int]int{}
	for i := range 1000 {
		id := workflow.ID(fmt.Sprint("j", i))
		after, is := shedding.Refuses(id)
		if again, still := shedding.Refuses(id); still != is || again != after {
			t.Fatalf("job %s: verdicts differ", id)
		}
		if !is {
			continue
		}
		refused++
		inSecond[int(after/time.Second)]++
		if after < 3*time.Second || after > 10*time.Second {
			t.Errorf("job %s returns after %v, want 3 to 10 s", id, after)
		}
		if _, stays := (admission.Shedding{Refused: 0.6}).Refuses(id); !stays {
			t.Errorf("job %s is refused while less is, and taken in while more is", id)
		}
	}
	if refused < 350 || refused > 450 {
		t.Errorf("%d of 1000 jobs refused, want about 400", refused)
	}
	for second, n := range inSecond {
		if n > refused/2 {
			t.Errorf("%d of %d callers return in second %d", n, refused, second)
		}
	}
	if _, is := (admission.Shedding{}).Refuses("j"); is {
		t.Error("a job is refused by the zero value")
	}
}
