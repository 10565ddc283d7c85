package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
)

// overloadWorkers is the number of workers in the tests of overload.
const overloadWorkers = 350

// overloadKinds are urgent jobs that leave little room beside wide ones, at rates that fill the workers' 16 cores.
var overloadKinds = []simulatedKind{
	{
		name: "urgent", priority: 0, perSecond: 31, steps: 2, width: 10, size: resource.Vector{MilliCores: 2200, MemoryBytes: 2 << 30},
		duration: 800 * time.Millisecond, objective: route.Objective{Stretch: 1.5, Slack: 250 * time.Millisecond},
		policy: route.PermitPolicy{CallLatency: 27 * time.Millisecond, WorkerLatency: 390 * time.Microsecond},
	},
	{
		name: "wide", priority: 2, perSecond: 6, steps: 2, width: 21, size: resource.Vector{MilliCores: 4500, MemoryBytes: 8 << 30},
		duration: 3800 * time.Millisecond, objective: route.Objective{Stretch: 2.2, Slack: 1200 * time.Millisecond},
		policy: route.PermitPolicy{CallLatency: 100 * time.Millisecond, WorkerLatency: time.Millisecond},
	},
}

// outcomes counts the jobs of a kind, submitted from a time on, by what they were worth to their callers.
func (c *simulatedCell) outcomes(k simulatedKind, from time.Time) (counts [3]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		if job.priority != k.priority || job.submitted.Before(from) {
			continue
		}
		limits := objective.LimitsOf(k.objective, job.submitted, time.Duration(k.steps)*job.duration)
		ended := job.ended
		if ended.IsZero() {
			ended = time.Now()
		}
		standing, _ := limits.Standing(0, ended)
		counts[standing]++
	}
	return counts
}

// playOverload lets a load come to a leader of overloadWorkers, waits until the backlog is over, and returns the outcomes of each kind. Jobs
// submitted before the leader may have learned something do not count.
func playOverload(t *testing.T, learning time.Duration, prepare, load func(*Scheduler, *simulatedCell)) (outcomes [][3]int) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newLeaderFor(t), newSimulatedCell()
		s.ports = Ports{Store: c, RecordCodec: noProgressCodec{}, RunClient: c, PermitClient: c, PeerPermitClients: c}
		s.historyRead = true
		s.mu.Lock()
		c.addWorkers(s, overloadWorkers, 16000)
		prepare(s, c)
		s.mu.Unlock()
		s.goTask(func() { s.runPlacement(s.ctx) })
		for range committers {
			s.goTask(func() { s.commitProgress(s.ctx) })
		}
		time.Sleep(2 * time.Second)
		from := time.Now().Add(learning)
		load(s, c)
		time.Sleep(30 * time.Second)
		for _, k := range overloadKinds {
			outcomes = append(outcomes, c.outcomes(k, from))
		}
		if n := len(s.openJobs); n > 0 {
			t.Errorf("%d jobs were accepted and are not finished", n)
		}
		s.cancel()
		s.wg.Wait()
	})
	return outcomes
}

// playBurst submits wide jobs at four times their rate for some seconds, then all at their usual rates, and returns the outcomes.
func playBurst(t *testing.T, withObjectives bool) [][3]int {
	kinds := []simulatedKind{overloadKinds[0], overloadKinds[1]}
	if !withObjectives {
		kinds[0].objective, kinds[1].objective = route.Objective{}, route.Objective{}
	}
	burst := kinds[1]
	burst.perSecond *= 4
	return playOverload(t, 0, func(*Scheduler, *simulatedCell) {}, func(s *Scheduler, c *simulatedCell) {
		c.submitFor(s, []simulatedKind{kinds[0], burst}, 6*time.Second, 1)
		c.submitFor(s, kinds, 12*time.Second, 1)
	})
}

// TestBurstOfWideJobs guards against a burst after which all later jobs are late, because those that are late already go first. What was
// accepted is finished all the same, and urgent jobs lose nothing.
func TestBurstOfWideJobs(t *testing.T) {
	byAge, byStanding := playBurst(t, false), playBurst(t, true)
	for i, k := range overloadKinds {
		t.Logf("%s jobs in time, late and of no use: by age %v, by standing %v", k.name, byAge[i], byStanding[i])
	}
	if got, want := byStanding[1][objective.InTime], byAge[1][objective.InTime]; 10*got < 11*want {
		t.Errorf("%d wide jobs are in time, and %d if they go by age; want a tenth more", got, want)
	}
	if got, want := byStanding[0][objective.InTime], byAge[0][objective.InTime]; 100*got < 99*want {
		t.Errorf("%d urgent jobs are in time, and %d if they go by age", got, want)
	}
}

// TestUrgentJobsAvoidSlowWorkers guards against urgent jobs of which nearly each is late, because one of its tasks runs on one of the workers
// that take 2.2 times as long, although there is room on others: a third of the workers, beside half of the usual wide jobs.
func TestUrgentJobsAvoidSlowWorkers(t *testing.T) {
	kinds := []simulatedKind{overloadKinds[0], overloadKinds[1]}
	kinds[1].perSecond /= 2
	outcomes := playOverload(t, 4*time.Second, func(s *Scheduler, c *simulatedCell) { c.makeSlow(s) }, func(s *Scheduler, c *simulatedCell) {
		c.submitFor(s, kinds, 12*time.Second, 1)
	})
	urgent := outcomes[0]
	t.Logf("urgent jobs in time, late and of no use: %v; wide jobs: %v", urgent, outcomes[1])
	if inTime, all := urgent[objective.InTime], urgent[0]+urgent[1]+urgent[2]; 10*inTime < 9*all {
		t.Errorf("%d of %d urgent jobs are in time, want 9 of 10", inTime, all)
	}
}
