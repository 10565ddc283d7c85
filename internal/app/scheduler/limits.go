package scheduler

import (
	"log/slog"
	"time"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

const (
	// releaseBatch is how many steps of an account are tried first after something of it has ended. As long as these leave room, the
	// number doubles with each pass: an end often makes room for one task, and hundreds of steps may wait for it.
	releaseBatch = 16
	// yieldAfter is how long a step may wait before those behind it leave it the room under the limit, so that small tasks cannot
	// keep a large one or a gang of the same account waiting for good.
	yieldAfter = 2 * time.Second
	// Bounds of the log lines about accounts that meet their limits: of one account, and of all.
	limitReportInterval = 10 * time.Second
	limitReportGap      = 100 * time.Millisecond
)

// accountLimits is what the leader knows of the use of accounts and of the steps that wait for their limits. It is guarded by the
// scheduler's lock.
type accountLimits struct {
	scheduler    *Scheduler
	usage        *account.Usage
	config       uint64                 // version of the configuration with the limits in force
	unattributed map[ident.WorkerID]int // number of runs of which neither the account nor the size is known
	isPartial    bool                   // more may run than usage counts
	reckoned     unknownUse
	aside        map[account.ID]*asideSteps // steps that are not in the queue
	freed        []*asideSteps              // those to look through in the next pass
	reached      []*candidate               // steps that the present pass found at the limit
	reported     map[account.ID]time.Time   // when it was last logged that an account has met its limit
	reportedAt   time.Time                  // when that was last logged of any account
}

// asideSteps are the steps of one account that wait until something of the account ends.
type asideSteps struct {
	steps placement.Queue[*candidate]
	batch int
	freed bool                // it is in accountLimits.freed
	first *placement.Position // of a step that those behind it leave the room to; nil if there is none
}

func newAccountLimits(s *Scheduler) accountLimits {
	return accountLimits{
		scheduler: s, usage: account.NewUsage(), unattributed: map[ident.WorkerID]int{}, aside: map[account.ID]*asideSteps{},
		reported: map[account.ID]time.Time{},
	}
}

// Owner implements pool.RunObserver.
func (l *accountLimits) Owner(run workflow.RunRef) (account.ID, bool) {
	e := l.scheduler.jobs[run.Task.Job]
	if e == nil || run.Task.Step < 0 || run.Task.Step >= len(e.workflow.Spec().Steps) {
		return "", false
	}
	return e.account, true
}

// RunAdded implements pool.RunObserver.
func (l *accountLimits) RunAdded(worker ident.WorkerID, run *pool.Run) {
	owner := run.Owner()
	if !owner.Known {
		l.unattributed[worker]++
		l.isPartial = true
		return
	}
	l.usage.Add(owner.Account, countedAs(run))
}

// RunRemoved implements pool.RunObserver.
func (l *accountLimits) RunRemoved(worker ident.WorkerID, run *pool.Run) {
	owner := run.Owner()
	if owner.Known {
		l.usage.Remove(owner.Account, countedAs(run))
		l.free(l.aside[owner.Account])
		return
	}
	if l.unattributed[worker]--; l.unattributed[worker] == 0 {
		delete(l.unattributed, worker)
	}
}

// countedAs returns what a run counts with: its full size, also the processors of best-effort runs.
func countedAs(run *pool.Run) account.Run {
	return account.Run{Size: run.Step.Size, Lasts: run.Step.LongRunning}
}

// free lets the next pass look through the steps of an account that are set aside.
func (l *accountLimits) free(a *asideSteps) {
	if a != nil && !a.freed {
		a.freed = true
		l.freed = append(l.freed, a)
	}
}

// refreshLimits puts the limits of the configuration in force, reckons what may run besides the known runs, and queues steps again for
// which there may be room. The lock is held.
func (s *Scheduler) refreshLimits(version uint64, accounts *account.Set, now time.Time) {
	l := &s.limits
	if version != l.config {
		l.config = version
		l.usage.SetLimits(accounts) // the queue is made again for the version
	}
	if l.usage.HasLimits() {
		s.reckonUnknown(now)
		s.releaseFreed(now)
	}
}

// releaseFreed queues steps again for which something has ended or changed. The lock is held.
func (s *Scheduler) releaseFreed(now time.Time) {
	l := &s.limits
	freed := l.freed
	l.freed = nil
	for _, a := range freed {
		s.releaseAside(a, now)
	}
}

// underLimit returns how many tasks of a step may start under the limit of its account. For a gang it is 0 unless all members may. The
// lock is held.
func (s *Scheduler) underLimit(c *candidate) int {
	l, id := &s.limits, c.entry.account
	if id == "" || !l.usage.HasLimits() {
		return account.Unlimited
	}
	if a := l.aside[id]; a != nil && a.first != nil && a.first.Compare(&c.position) < 0 {
		return 0
	}
	step := c.entry.workflow.Step(c.ref)
	if !step.Gang {
		return l.usage.Room(id, step.Size)
	}
	if l.usage.HasRoomForGang(id, step.Size, step.Count) {
		return account.Unlimited
	}
	return 0
}

// setAside takes the steps that the pass found at the limits of their accounts out of the queue. The lock is held.
func (s *Scheduler) setAside(now time.Time) {
	for _, c := range s.limits.reached {
		s.queue.steps.Remove(&c.position)
		s.limits.add(c, now)
	}
	clear(s.limits.reached)
	s.limits.reached = s.limits.reached[:0]
}

// add sets a step aside. It keeps no capacity free any more, and its wait for capacity begins anew.
func (l *accountLimits) add(c *candidate, now time.Time) {
	id := c.entry.account
	a := l.aside[id]
	if a == nil {
		a = &asideSteps{}
		l.aside[id] = a
	}
	a.batch = releaseBatch
	a.steps.Add(c)
	c.step.aside = a
	c.step.waiting.Placed()
	c.dropHolds()
	l.report(id, a.steps.Len(), now)
}

// report logs that an account has met its limit.
func (l *accountLimits) report(id account.ID, steps int, now time.Time) {
	if now.Sub(l.reportedAt) < limitReportGap || now.Sub(l.reported[id]) < limitReportInterval {
		return
	}
	l.reportedAt, l.reported[id] = now, now
	attrs := []any{slog.Int("steps", steps)}
	for _, a := range l.attrs(id) {
		attrs = append(attrs, a)
	}
	l.scheduler.log.Info("account at its limit", attrs...)
}

// dropAside forgets the steps that are set aside, because all of them are queued again.
func (l *accountLimits) dropAside() {
	clear(l.aside)
	l.freed = nil
}

// enqueue adds a step to the queue, or to those that are set aside. The lock is held.
func (s *Scheduler) enqueue(c *candidate, now time.Time) {
	if s.underLimit(c) == 0 {
		s.limits.add(c, now)
		return
	}
	s.queue.steps.Add(c)
}

// dequeue removes a step from where enqueue or setAside has put it. The lock is held.
func (s *Scheduler) dequeue(c *candidate) {
	a := c.step.aside
	if a == nil {
		s.queue.steps.Remove(&c.position)
		return
	}
	a.steps.Remove(&c.position)
	c.step.aside = nil
	if a.first == &c.position {
		a.first = nil
		s.limits.free(a)
	}
}

// releaseAside queues the first steps of an account again that have room under its limit, unless a step before them that has waited for
// long needs more of it. The lock is held.
func (s *Scheduler) releaseAside(a *asideSteps, now time.Time) {
	a.freed, a.first = false, nil
	var released []*candidate
	for _, c := range a.steps.Steps() {
		if len(released) == a.batch {
			a.batch *= 2
			s.limits.free(a)
			s.wakePlacement()
			break
		}
		if s.underLimit(c) > 0 {
			released = append(released, c)
		} else if now.Sub(c.step.wait.since) >= yieldAfter && s.isWorthWaiting(c) {
			a.first = &c.position
			break
		}
	}
	for _, c := range released {
		a.steps.Remove(&c.position)
		c.step.aside = nil
		s.queue.steps.Add(c)
		s.queue.settled = false
	}
}

// isWorthWaiting reports whether the steps behind one that is set aside should leave it the room under the limit. The lock is held.
func (s *Scheduler) isWorthWaiting(c *candidate) bool {
	step, members := c.entry.workflow.Step(c.ref), 1
	if step.Gang {
		members = step.Count
	}
	return s.limits.usage.IsWorthWaiting(c.entry.account, step.Size, members)
}

// attrs states what an account runs and may run.
func (l *accountLimits) attrs(id account.ID) []slog.Attr {
	used, runs := l.usage.Used(id)
	limit, _ := l.usage.Limit(id)
	unknown, bounded := l.usage.Unknown().Of(id)
	return []slog.Attr{
		slog.String("account", string(id)), slog.String("used", used.String()), slog.Int("runs", runs),
		slog.String("limit", limit.String()), slog.String("unknown", unknown.String()), slog.Bool("bounded", bounded),
	}
}

// states returns what each account with a limit runs.
func (l *accountLimits) states() map[account.ID]port.AccountState {
	states := map[account.ID]port.AccountState{}
	for a := range l.usage.Limited() {
		used, _ := l.usage.Used(a.ID)
		state := port.AccountState{Used: used, Limit: a.Limit}
		if aside := l.aside[a.ID]; aside != nil {
			state.Aside = aside.steps.Len()
		}
		states[a.ID] = state
	}
	return states
}
