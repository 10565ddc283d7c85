package scheduler

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// playHotRack lets jobs come to a leader of six racks with eight workers each, of which most name the first rack, which is nearly full with
// them, and returns the mean time to the end of these jobs. Without waits, the leader
// expects nothing of the rack.
func playHotRack(t *testing.T, duration time.Duration, waits bool) (mean time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newLeaderFor(t), newSimulatedCell()
		s.settings.RemoteFactor = simulatedRemoteFactor
		s.observer = s.newRunObserver()
		s.ports = Ports{Store: c, RecordCodec: noProgressCodec{}, RunClient: c, PermitClient: c, PeerPermitClients: c}
		s.historyRead = true
		s.mu.Lock()
		c.addWorkers(s, 48, 16000)
		for i, id := range slices.Sorted(maps.Keys(c.workers)) {
			info := s.monitors[id].worker.Info()
			info.Rack = fmt.Sprintf("r%d", i/8)
			s.monitors[id].worker.UpdateInfo(info)
			c.workers[id].rack = info.Rack
		}
		s.roster = nil
		if !waits {
			s.near.racks.Waited("r0", false, time.Now().Add(time.Hour))
		}
		s.mu.Unlock()
		s.goTask(func() { s.runPlacement(s.ctx) })
		for range committers {
			s.goTask(func() { s.commitProgress(s.ctx) })
		}
		time.Sleep(2 * time.Second)
		random := rand.New(rand.NewPCG(5, 6))
		const perSecondAtOneSecond = 11 // jobs with five tasks of two cores each: 110 of the rack's 128 cores
		interval := time.Duration(float64(duration) / perSecondAtOneSecond)
		for i := range 200 {
			c.submitNear(s, i, time.Duration((0.5+random.Float64())*float64(duration)), 1+random.IntN(9))
			time.Sleep(time.Duration(2 * random.Float64() * float64(interval)))
		}
		time.Sleep(4 * simulatedRemoteFactor * duration)
		c.mu.Lock()
		var sum time.Duration
		for id, job := range c.jobs {
			if job.ended.IsZero() {
				t.Errorf("job %s has not ended", id)
			}
			sum += job.ended.Sub(job.submitted)
		}
		mean = sum / time.Duration(len(c.jobs))
		c.mu.Unlock()
		s.cancel()
		s.wg.Wait()
	})
	return mean
}

// submitNear announces a job of one step with its data on the rack r0.
func (c *simulatedCell) submitNear(s *Scheduler, number int, duration time.Duration, count int) {
	job := port.AcceptedJob{Spec: workflow.Spec{ID: workflow.ID(fmt.Sprintf("near-%d", number))}, AcceptedAt: time.Now()}
	job.Spec.Steps = []workflow.Step{{
		Count: count, DataRack: "r0", Size: resource.Vector{MilliCores: 2000, MemoryBytes: 1 << 30}, Estimate: duration,
	}}
	job.Queue.Name, job.Queue.Service, job.Queue.MaxAttempts = "near", "desk", 3
	c.mu.Lock()
	c.jobs[job.Spec.ID] = &simulatedJob{submitted: time.Now(), duration: duration, rack: "r0", left: count}
	c.mu.Unlock()
	_ = s.Notify(context.Background(), job)
}

// TestHotRack guards against waits for a rack that cost callers more than they save: with short tasks a wait pays, with long ones there is
// nothing to wait for within its bound.
func TestHotRack(t *testing.T) {
	short, without := playHotRack(t, 800*time.Millisecond, true), playHotRack(t, 800*time.Millisecond, false)
	t.Logf("short tasks: jobs take %v, and %v without waits", short, without)
	if 100*short > 95*without {
		t.Errorf("jobs with short tasks take %v, and %v without waits; want a twentieth less", short, without)
	}
	long, without := playHotRack(t, 20*time.Second, true), playHotRack(t, 20*time.Second, false)
	t.Logf("long tasks: jobs take %v, and %v without waits", long, without)
	if 100*long > 101*without {
		t.Errorf("jobs with long tasks take %v, and %v without waits", long, without)
	}
}

// BenchmarkPlaceAfterEnd measures one pass of placement that starts a task after the end of a run, with and without the expectations of
// racks that both have to change. No step names a rack.
func BenchmarkPlaceAfterEnd(b *testing.B) {
	for _, workers := range []int{100, 300, 1100} {
		for _, factor := range []float64{0, simulatedRemoteFactor} {
			b.Run(fmt.Sprintf("workers=%d/factor=%v", workers, factor), func(b *testing.B) {
				s, now := newFullLeader(b, workers, 100)
				s.settings.RemoteFactor = factor
				s.observer = s.newRunObserver()
				for i := range workers {
					w := s.monitors[ident.WorkerID(fmt.Sprintf("x%d", i))].worker
					info := w.Info()
					info.Rack = fmt.Sprintf("r%d", i/20)
					w.UpdateInfo(info)
					w.SetObserver(s.observer)
				}
				s.roster = nil
				m, run := s.monitors["x0"], workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "full"}}, Run: 1}
				b.ReportAllocs()
				for b.Loop() {
					m.worker.Release(run)
					if e := s.jobs[run.Task.Job]; e != nil {
						e.workflow.DropRun(run, m.worker.ID())
					}
					launches, _ := s.place(now)
					if len(launches) != 1 {
						b.Fatalf("%d starts after an end, want 1", len(launches))
					}
					s.startsInProgress = 0
					m, run = launches[0].monitor, launches[0].request.RunRef
				}
			})
		}
	}
}
