package permit_test

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/workflow"
)

func peerNames(n int) []ident.ProcessID {
	var names []ident.ProcessID
	for i := range n {
		names = append(names, ident.ProcessID(fmt.Sprintf("p%02d", i)))
	}
	return names
}

// position returns that of a step of a queue with the given priority.
func position(step, priority int) *placement.Position {
	return &placement.Position{Ref: workflow.StepRef{Job: "j", Step: step}, Priority: priority}
}

// TestUrgentCallsFindAProcess guards against an urgent call that waits behind calls for other queues, which take many times as long.
func TestUrgentCallsFindAProcess(t *testing.T) {
	for _, n := range []int{6, 16, 146} {
		d, peers, now := permit.NewDispatcher("leader"), peerNames(n), time.Now()
		for range 1000 {
			if slot, ok := d.Next(peers, position(0, 1), false, now); ok {
				d.Begin(slot, false, time.Second, now)
			}
		}
		if slot, ok := d.Next(peers, position(0, 0), true, now); !ok || slot.Wait != 0 {
			t.Errorf("%d processes: an urgent call waits %v for process %s", n+1, slot.Wait, slot.Process)
		}
	}
}

// TestPermitCallsOfProcess guards against more short calls through one process than the permit service lets wait, and against a process
// that gets no calls for good after calls through it have failed.
func TestPermitCallsOfProcess(t *testing.T) {
	const limit = 24
	d, peers, now := permit.NewDispatcher("leader"), peerNames(1), time.Now()
	calls := map[ident.ProcessID]int{}
	for range 200 {
		slot, ok := d.Next(peers, position(0, 0), true, now)
		if !ok {
			break
		}
		d.Begin(slot, true, time.Millisecond, now)
		calls[slot.Process]++
	}
	if calls["p00"] != limit || calls["leader"] != limit {
		t.Fatalf("calls in progress: %v, want %d through each process", calls, limit)
	}
	for range limit {
		d.End("p00", true, now)
	}
	if slot, ok := d.Next(peers, position(0, 0), true, now.Add(100*time.Millisecond)); ok && slot.Wait == 0 {
		t.Errorf("a call goes through %s right after calls through it have failed", slot.Process)
	}
	if slot, ok := d.Next(peers, position(0, 0), true, now.Add(2*time.Second)); !ok || slot.Process != "p00" {
		t.Errorf("no call goes through p00 2 s after calls through it have failed: %v, %v", slot, ok)
	}
}

// load is a flow of calls for one kind of queue.
type load struct {
	urgent   bool
	interval time.Duration // between two steps that need a call
	duration time.Duration // of a call
}

// played is what came of a load.
type played struct {
	steps, called int
	longestWait   time.Duration // from the need of a call to the begin of its handling
	waits         time.Duration // all of these
}

// play lets the calls of several loads be made through the processes for a time. Steps wait in order until the dispatcher finds a process.
func play(peers []ident.ProcessID, length time.Duration, loads ...load) []played {
	const tick = 5 * time.Millisecond
	d, start := permit.NewDispatcher("leader"), time.Now()
	results, waiting := make([]played, len(loads)), make([][]time.Duration, len(loads))
	type call struct {
		process ident.ProcessID
		ends    time.Duration
	}
	var inProgress []call
	for at := time.Duration(0); at < length; at += tick {
		now := start.Add(at)
		kept := inProgress[:0]
		for _, c := range inProgress {
			if c.ends <= at {
				d.End(c.process, false, now)
			} else {
				kept = append(kept, c)
			}
		}
		inProgress = kept
		for i, l := range loads {
			if at%l.interval < tick {
				results[i].steps++
				waiting[i] = append(waiting[i], at)
			}
			for len(waiting[i]) > 0 {
				slot, ok := d.Next(peers, position(0, i), l.urgent, now)
				if !ok {
					break
				}
				d.Begin(slot, l.urgent, l.duration, now)
				inProgress = append(inProgress, call{slot.Process, at + slot.Wait + l.duration})
				wait := at + slot.Wait - waiting[i][0]
				results[i].called++
				results[i].longestWait, results[i].waits = max(results[i].longestWait, wait), results[i].waits+wait
				waiting[i] = waiting[i][1:]
			}
		}
	}
	return results
}

// TestFewProcesses guards against jobs that wait for permits without bound although a process has time to spare: with two processes left,
// one made only urgent calls, and all others went through the leader's own. The load is that of 48 workers; two processes are busy with it
// for nine tenths of the time.
func TestFewProcesses(t *testing.T) {
	urgent := load{urgent: true, interval: 65 * time.Millisecond, duration: 30 * time.Millisecond}
	long := load{interval: 365 * time.Millisecond, duration: 445 * time.Millisecond}
	for _, n := range []int{1, 2, 6, 146} {
		results := play(peerNames(n), 3*time.Minute, urgent, long)
		u, l := results[0], results[1]
		if left := l.steps - l.called; left > 5 || l.longestWait > 5*time.Second {
			t.Errorf("%d processes: %d of %d steps that are not urgent have no call, longest wait %v", n+1, left, l.steps, l.longestWait)
		}
		if u.steps > u.called || u.longestWait > long.duration+urgent.duration {
			t.Errorf("%d processes: %d of %d urgent steps called, longest wait %v; want no longer than one other call", n+1, u.called, u.steps, u.longestWait)
		}
		if mean := u.waits / time.Duration(u.called); mean > 100*time.Millisecond {
			t.Errorf("%d processes: urgent steps wait %v on average", n+1, mean)
		}
	}
}

// TestSingleProcess guards against urgent calls that wait behind a queue of others when only the leader is left, and against others that
// take more than half of its time: more of them are needed than it can make.
func TestSingleProcess(t *testing.T) {
	const length = 3 * time.Minute
	urgent := load{urgent: true, interval: 125 * time.Millisecond, duration: 30 * time.Millisecond}
	long := load{interval: 300 * time.Millisecond, duration: 445 * time.Millisecond}
	results := play(nil, length, urgent, long)
	u, l := results[0], results[1]
	if limit := long.duration + 150*time.Millisecond; u.longestWait > limit || u.steps-u.called > 2 {
		t.Errorf("%d of %d urgent steps called, longest wait %v, want at most %v", u.called, u.steps, u.longestWait, limit)
	}
	if share := (time.Duration(l.called) * long.duration).Seconds() / length.Seconds(); share < 0.4 || share > 0.52 {
		t.Errorf("calls that are not urgent take %.2f of the time, want about half", share)
	}
}

// TestCallsFollowTheOrderOfSteps guards against a step of a high priority that waits for seconds, because steps of lower ones are tried
// whenever a process can make a call again, and against steps that wait for one that needs no call any more.
func TestCallsFollowTheOrderOfSteps(t *testing.T) {
	d, peers, start := permit.NewDispatcher("leader"), peerNames(6), time.Now()
	first, later, last := position(1, 1), position(2, 2), position(3, 3)
	for range 100 {
		if slot, ok := d.Next(peers, later, false, start); ok {
			d.Begin(slot, false, time.Second, start)
		}
	}
	for _, c := range []struct {
		step *placement.Position
		at   time.Duration
		ok   bool
	}{
		{later, 100 * time.Millisecond, false},
		{first, 200 * time.Millisecond, false},
		{last, 540 * time.Millisecond, false}, // first may be tried again soon
		{later, 550 * time.Millisecond, false},
		{first, 560 * time.Millisecond, true},
		{later, 570 * time.Millisecond, true},
		{last, 580 * time.Millisecond, true},
	} {
		if _, ok := d.Next(peers, c.step, false, start.Add(c.at)); ok != c.ok {
			t.Errorf("a step of priority %d may call after %v: %v, want %v", c.step.Priority, c.at, ok, c.ok)
		}
	}
	if ref, ok := d.Waiter(); ok {
		t.Errorf("%v waits for a process", ref)
	}
	d.Next(peers, first, false, start.Add(100*time.Millisecond))
	if _, ok := d.Next(peers, last, false, start.Add(time.Second)); !ok {
		t.Error("a step waits for one that was not tried again")
	}
}

// TestBurstOfUrgentCalls guards against urgent calls that wait behind others, which take fifteen times as long, because those reserved for
// them don't suffice in a burst: 200 urgent calls a second through 37 processes that other calls never leave idle.
func TestBurstOfUrgentCalls(t *testing.T) {
	results := play(peerNames(36), 10*time.Second,
		load{urgent: true, interval: 5 * time.Millisecond, duration: 40 * time.Millisecond},
		load{interval: 10 * time.Millisecond, duration: 620 * time.Millisecond})
	urgent, others := results[0], results[1]
	mean := urgent.waits / time.Duration(max(urgent.called, 1))
	t.Logf("urgent calls wait %v on average and %v at most, %d other calls are made", mean, urgent.longestWait, others.called)
	if urgent.called < urgent.steps || mean > 100*time.Millisecond {
		t.Errorf("%d of %d urgent calls are made, and wait %v on average", urgent.called, urgent.steps, mean)
	}
	if free := 36.0 / 4 * 10 / 0.62; float64(others.called) < free {
		t.Errorf("%d other calls are made, want at least the %.0f of a quarter of the processes", others.called, free)
	}
}
