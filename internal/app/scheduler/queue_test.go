package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// describeSteps returns the steps as text.
func describeSteps(steps []*candidate) []string {
	var list []string
	for _, c := range steps {
		list = append(list, fmt.Sprint(c.ref, " priority ", c.queue.Priority, " overdue ", c.position.Overdue, " rank ", c.position.Rank))
	}
	return list
}

// collectedSteps returns what the queue has to hold: the ready steps of all open jobs in order, as the leader once collected them in
// each pass.
func collectedSteps(s *Scheduler, now time.Time) []*candidate {
	var list []*candidate
	for _, e := range s.openJobs {
		for _, ref := range e.workflow.Ready(now) {
			list = append(list, s.newCandidate(e, ref, s.queueOf(e), now))
		}
	}
	slices.SortFunc(list, func(a, b *candidate) int { return a.position.Compare(&b.position) })
	return list
}

// queueHistory changes a leader's jobs at random.
type queueHistory struct {
	*rapid.T
	s       *Scheduler
	now     time.Time
	jobs    int
	running []launch
}

func (h *queueHistory) accept() {
	step := func(dependsOn ...int) workflow.Step {
		return workflow.Step{
			Count: rapid.IntRange(1, 3).Draw(h.T, "tasks"), Estimate: time.Second, DependsOn: dependsOn, LongRunning: rapid.Bool().Draw(h.T, "long-running"),
			Size: resource.Vector{MilliCores: 1000 * rapid.Int64Range(1, 5).Draw(h.T, "cores")},
		}
	}
	job := port.AcceptedJob{AcceptedAt: h.now}
	job.Spec.ID = workflow.ID(fmt.Sprintf("j%d", h.jobs))
	job.Spec.Steps = []workflow.Step{step(), step(0)}
	job.Spec.Steps[0].Gang = !job.Spec.Steps[0].LongRunning && rapid.Bool().Draw(h.T, "gang")
	if rapid.Bool().Draw(h.T, "occurrences") {
		job.Spec.Occurrences, job.Spec.FirstAt, job.Spec.Period = 3, h.now.Add(time.Second), 700*time.Millisecond
	}
	job.Queue = route.Queue{Name: "q", Service: "desk", MaxAttempts: 2, Priority: rapid.IntRange(0, 2).Draw(h.T, "priority")}
	if rapid.Bool().Draw(h.T, "objective") {
		job.Queue.Objective = route.Objective{Stretch: 1.5, Slack: 250 * time.Millisecond}
	}
	job.Excess = rapid.Bool().Draw(h.T, "excess")
	h.jobs++
	h.s.acceptJob(job, 0)
}

// end ends one of the runs that were placed.
func (h *queueHistory) end() {
	if len(h.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.running)-1).Draw(h.T, "run")
	l := h.running[i]
	h.running = slices.Delete(h.running, i, i+1)
	outcome := rapid.SampledFrom([]workflow.Outcome{workflow.Done, workflow.Failed, workflow.Stopped, workflow.Lost}).Draw(h.T, "outcome")
	if run := l.monitor.worker.Run(l.request.RunRef); run != nil && outcome == workflow.Done {
		run.Started = time.Now().Add(-time.Duration(rapid.IntRange(1, 3000).Draw(h.T, "took ms")) * time.Millisecond)
		h.s.observeDuration(l.monitor, run)
	}
	l.monitor.worker.Release(l.request.RunRef)
	h.s.applyEnd(l.monitor, workflow.End{Run: l.request.RunRef, Outcome: outcome})
}

// withdraw takes back a start that the worker has refused.
func (h *queueHistory) withdraw() {
	if len(h.running) == 0 {
		return
	}
	l := h.running[0]
	h.running = h.running[1:]
	l.monitor.worker.Release(l.request.RunRef)
	l.entry.workflow.DropRun(l.request.RunRef, l.target.Worker)
}

func (h *queueHistory) cancel() {
	id := workflow.ID(fmt.Sprintf("j%d", rapid.IntRange(0, h.jobs).Draw(h.T, "job")))
	if e := h.s.jobs[id]; e != nil && e.workflow.Cancel() {
		h.s.markDirty(e)
	}
}

// TestQueueFollowsJobs guards against a step that is never tried, or tried although it is not ready, because a change of its job or the
// passing of time was not noted.
func TestQueueFollowsJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &queueHistory{T: rt, s: newLeaderFor(t), now: time.Now()}
		for i := range 3 {
			addTestWorker(h.s, ident.WorkerID(fmt.Sprintf("w%d", i)), 4000, h.now)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "changes") {
			switch rapid.IntRange(0, 7).Draw(rt, "change") {
			case 0, 1:
				h.s.mu.Lock()
				h.accept()
				h.s.mu.Unlock()
			case 2, 3:
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			case 4:
				launches, _ := h.s.place(h.now)
				h.running = append(h.running, launches...)
				h.s.startsInProgress = 0
			case 5:
				h.s.mu.Lock()
				h.end()
				h.s.mu.Unlock()
			case 6:
				h.s.mu.Lock()
				h.withdraw()
				h.s.mu.Unlock()
			case 7:
				h.s.mu.Lock()
				h.cancel()
				h.s.mu.Unlock()
			}
			if !rapid.Bool().Draw(rt, "look") {
				continue
			}
			h.s.mu.Lock()
			h.s.updateUnsynced(h.now)
			got, want := describeSteps(h.s.candidates(h.now)), describeSteps(collectedSteps(h.s, h.now))
			h.s.mu.Unlock()
			if !slices.Equal(got, want) {
				rt.Fatalf("the queue holds %q, want %q", got, want)
			}
		}
	})
}
