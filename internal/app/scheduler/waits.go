package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/pause"
)

// Parameters of the reports on steps with tasks that have not started.
const (
	waitReportInterval = 500 * time.Millisecond
	// reportWaitAfter is how long tasks of a step wait before the first report. The time to the next one doubles.
	reportWaitAfter = time.Second
	// Bounds of the reports in one interval, and of the time for which the lock is held. The others follow in the next one.
	maxWaitReports    = 20
	maxWaitReportTime = 2 * time.Millisecond
	// untriedLimit is how long a step may be left out by the passes of placement before that counts as the reason of its wait.
	untriedLimit = 400 * time.Millisecond
)

// waitReason states why tasks of a step have not started. It is the outcome of the event "tasks wait".
type waitReason string

const (
	waitUnsynced      waitReason = "unsynced_worker"    // may run on a worker of an earlier leader that has not reported
	waitUnconfirmed   waitReason = "leader_unconfirmed" // nothing confirms that this process still leads
	waitUntried       waitReason = "pass_out_of_time"   // the passes of placement did not reach the step
	waitCrashRecord   waitReason = "crash_unrecorded"   // a crash or a run in doubt is not recorded yet
	waitDoubts        waitReason = "runs_in_doubt"      // too many workers have crashed, or may have, under the task
	waitAccountLimit  waitReason = "account_limit"      // the account may not run more at once
	waitNoAttempts    waitReason = "no_attempts"
	waitGangMember    waitReason = "gang_member_active" // a member of an earlier run of the gang is active
	waitNoPermit      waitReason = "no_permit"          // no worker has a valid ticket
	waitNoWorker      waitReason = "no_worker"          // no worker passes all filters
	waitNoRoomForGang waitReason = "no_room_for_gang"   // some workers are eligible, but not enough for all members
	waitPlaceable     waitReason = "placeable"          // a worker is eligible now
)

// stepWait tracks for how long a step has had tasks to start, whatever keeps them from starting. The zero value is a step that
// has none.
type stepWait struct {
	since   time.Time
	triedAt time.Time // when a pass of placement last reached the step
	report  time.Time // when the next report is due
}

// observe records that the step has tasks to start.
func (w *stepWait) observe(now time.Time) {
	if w.since.IsZero() {
		w.since, w.report = now, now.Add(reportWaitAfter)
	}
}

// untriedFor returns for how long no pass of placement has reached the step since its tasks wait.
func (w *stepWait) untriedFor(now time.Time) time.Duration {
	if w.triedAt.After(w.since) {
		return now.Sub(w.triedAt)
	}
	return now.Sub(w.since)
}

// waitReport is what a line about a waiting step states.
type waitReport struct {
	ref      workflow.StepRef
	priority int
	outlook  outlook
	excess   bool          // the job was accepted beyond the share of its account
	age      time.Duration // of the job
	waited   time.Duration
	unplaced int
	first    int // the lowest index of the waiting tasks, to which the reason applies
	reason   waitReason
	attrs    []slog.Attr // details of the reason
}

func (r *waitReport) log(log *slog.Logger) {
	attrs := []any{
		slog.String("step", r.ref.String()), slog.String("kind", string(r.reason)),
		slog.Int64("waited_ms", r.waited.Milliseconds()), slog.Int64("age_ms", r.age.Milliseconds()),
		slog.Int("unplaced", r.unplaced), slog.Int("first", r.first), slog.Int("priority", r.priority),
		slog.String("standing", r.outlook.standing.String()), slog.Bool("excess", r.excess), slog.Bool("behind", r.outlook.rank.IsBehind()),
	}
	for _, a := range r.attrs {
		attrs = append(attrs, a)
	}
	log.Info("tasks wait", attrs...)
}

// reportWaits states why tasks wait, until the term ends.
func (s *Scheduler) reportWaits(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, waitReportInterval)
		for _, report := range s.dueWaitReports(time.Now()) {
			report.log(s.log)
		}
	}
}

// dueWaitReports returns the reports that are due. Long-running steps come first, then those that have been due for longest.
func (s *Scheduler) dueWaitReports(now time.Time) []waitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := time.Now()
	due := s.dueWaits(now, started.Add(maxWaitReportTime))
	var reports []waitReport
	pass := s.newPass(now)
	for _, c := range due {
		if len(reports) == maxWaitReports || len(reports) > 0 && time.Since(started) > maxWaitReportTime {
			break
		}
		c.pass = pass
		reports = append(reports, s.explainWait(c, now))
		wait := &c.entry.step(c.ref).wait
		wait.report = now.Add(now.Sub(wait.since))
	}
	return reports
}

// dueWaits returns the steps of which a report is due, in the order of the reports. It resets the waits of steps that have no
// tasks to start. Jobs that it does not reach before the deadline are left for the next time: the order of the jobs varies. The lock is
// held.
func (s *Scheduler) dueWaits(now, deadline time.Time) []candidate {
	var due []candidate
	for _, e := range s.openJobs {
		if time.Now().After(deadline) {
			break
		}
		ready := e.workflow.Ready(now)
		for ref, step := range e.steps {
			if !slices.Contains(ready, ref) {
				step.wait = stepWait{}
			}
		}
		for _, ref := range ready {
			wait := &e.step(ref).wait
			wait.observe(now)
			if !now.Before(wait.report) {
				c := s.newCandidate(e, ref, s.queueOf(e), now)
				c.held = s.mayRunOnUnsynced(e)
				due = append(due, *c)
			}
		}
	}
	lasting := func(c candidate) int {
		if c.entry.workflow.Step(c.ref).LongRunning {
			return 0
		}
		return 1
	}
	slices.SortFunc(due, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(lasting(a), lasting(b)),
			a.entry.step(a.ref).wait.report.Compare(b.entry.step(b.ref).wait.report), a.position.Compare(&b.position))
	})
	return due
}

// explainWait states why a waiting task of the step has not started. The lock is held.
func (s *Scheduler) explainWait(c candidate, now time.Time) waitReport {
	step := c.entry.step(c.ref)
	waiting := c.entry.workflow.Waiting(c.ref)
	report := waitReport{
		ref: c.ref, priority: c.queue.Priority, age: now.Sub(c.entry.accepted), waited: now.Sub(step.wait.since),
		unplaced: len(waiting), first: waiting[0], outlook: c.outlook, excess: c.entry.excess,
	}
	c.permits, c.waited = step.permits, step.waiting.For(now)
	c.workers = s.allowedWorkers(c)
	task := workflow.TaskRef{StepRef: c.ref, Index: report.first}
	switch {
	case c.held:
		report.reason, report.attrs = waitUnsynced, s.unsyncedAttrs(c.entry)
	case s.authority.doubtful:
		report.reason = waitUnconfirmed
	case s.underLimit(&c) == 0:
		report.reason, report.attrs = waitAccountLimit, s.limits.attrs(c.entry.account)
	case step.wait.untriedFor(now) > untriedLimit:
		report.reason = waitUntried
		report.attrs = []slog.Attr{slog.Int64("untried_ms", step.wait.untriedFor(now).Milliseconds())}
	case c.entry.workflow.Step(c.ref).Gang && len(waiting) < c.entry.workflow.Step(c.ref).Count:
		report.reason, report.attrs = waitGangMember, activeAttrs(c.entry.workflow.ActiveInStep(c.ref))
	case c.entry.workflow.MayHarmWorker(task):
		report.reason = waitDoubts
		report.attrs = []slog.Attr{slog.Int("crashes", c.entry.workflow.Crashes(task))}
	case c.entry.mustNotStart(task):
		report.reason = waitCrashRecord
	case !c.entry.workflow.HasAttemptsLeft(task, c.queue.MaxAttempts):
		report.reason = waitNoAttempts
	case c.permits != nil && len(c.workers) == 0:
		report.reason, report.attrs = waitNoPermit, s.permitAttrs(c, now)
	default:
		report.reason, report.attrs = s.explainRejections(c, task, now)
	}
	return report
}

// unsyncedAttrs names a worker on which tasks of the job may be running. The lock is held.
func (s *Scheduler) unsyncedAttrs(e *jobEntry) []slog.Attr {
	var workers []ident.WorkerID
	for id, w := range s.unsynced {
		if s.mayRunOn(e, w) {
			workers = append(workers, id)
		}
	}
	return []slog.Attr{slog.String("worker", string(slices.Min(workers))), slog.Int("workers", len(workers))}
}

// activeAttrs names one of the active runs.
func activeAttrs(active []workflow.Placement) []slog.Attr {
	if len(active) == 0 {
		return nil
	}
	return []slog.Attr{
		slog.Int("active", len(active)), slog.Int("active_index", active[0].Task.Index),
		slog.Uint64("active_run", uint64(active[0].Run)), slog.String("worker", string(active[0].Worker)),
	}
}

// permitAttrs counts the recorded workers by what is known of their permits. The lock is held.
func (s *Scheduler) permitAttrs(c candidate, now time.Time) []slog.Attr {
	counts := map[string]int{}
	for id, m := range s.monitors {
		if s.recorded[id] {
			counts[c.permits.Status(permitWorker(m), now)]++
		}
	}
	return []slog.Attr{slog.String("permits", formatCounts(counts))}
}

// explainRejections counts the workers by what keeps the task from them. The lock is held.
func (s *Scheduler) explainRejections(c candidate, task workflow.TaskRef, now time.Time) (waitReason, []slog.Attr) {
	request := c.taskRequest(task, now)
	if request.NeedsLastChoice(c.allowed(), func() bool { return c.pass.isIdle(c.queue.Service) }) {
		request.LastChoice = true
	}
	counts := map[string]int{}
	for id, m := range s.monitors {
		switch reason := m.worker.Rejection(&request); {
		case !s.recorded[id]:
			counts["not_recorded"]++
		case c.permits != nil && !c.permits.Valid(permitWorker(m), now):
			counts["no_permit"]++
		case reason == pool.NotRejected:
			counts["eligible"]++
		default:
			counts[string(reason)]++
		}
	}
	attrs := []slog.Attr{slog.String("rejected", formatCounts(counts)), slog.Bool("last_choice", request.LastChoice)}
	switch {
	case counts["eligible"] == 0:
		return waitNoWorker, attrs
	case c.entry.workflow.Step(c.ref).Gang:
		return waitNoRoomForGang, attrs
	default:
		return waitPlaceable, attrs
	}
}

// formatCounts returns the counts as name:count pairs, ordered by name.
func formatCounts(counts map[string]int) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		pairs = append(pairs, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	return strings.Join(pairs, " ")
}
