package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkstall/internal/domain/permit"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// tick is how often the placement looks without a cause: the times of occurrences come, and pauses of workers end.
const tick = 100 * time.Millisecond

// runsPerTerm bounds the runs of one task in one term. Runs are numbered from the term on, so that those of a new
// leader are higher than any that an earlier one ordered without a trace.
const runsPerTerm = 1000

func (s *Scheduler) firstRun() workflow.Run { return workflow.Run((s.term.Number - 1) * runsPerTerm) }

// placeAll places tasks whenever something has changed, until the term ends.
func (s *Scheduler) placeAll(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		launches, questions := s.place(time.Now())
		for _, l := range launches {
			s.running.Go(func() { s.start(ctx, l) })
		}
		for _, q := range questions {
			s.running.Go(func() { s.ask(ctx, q) })
		}
	}
}

// candidate is a step with tasks to start.
type candidate struct {
	entry *entry
	ref   workflow.StepRef
	queue route.Queue
}

// place decides which tasks start now, and for which steps permits are asked.
func (s *Scheduler) place(now time.Time) ([]launch, []question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountFor(now)
	var launches []launch
	var questions []question
	for _, c := range s.candidates(now) {
		placed, left := s.placeStep(c, now)
		launches = append(launches, placed...)
		if left == 0 || c.queue.Advice == nil {
			continue
		}
		if q, ok := s.questionFor(c, left, now); ok {
			questions = append(questions, q)
		}
	}
	return launches, questions
}

// candidates returns the steps with tasks to start: urgent queues first, then by age.
func (s *Scheduler) candidates(now time.Time) []candidate {
	var list []candidate
	for _, e := range s.open {
		if s.mayRunUnseen(e) {
			continue
		}
		refs := e.flow.Ready(now)
		if len(refs) == 0 {
			continue
		}
		queue := s.queueOf(e)
		for _, ref := range refs {
			list = append(list, candidate{e, ref, queue})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.queue.Priority, b.queue.Priority), a.entry.accepted.Compare(b.entry.accepted),
			cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Occurrence, b.ref.Occurrence),
			cmp.Compare(a.ref.Step, b.ref.Step))
	})
	return list
}

// placeStep starts tasks of a step and returns how many are left.
func (s *Scheduler) placeStep(c candidate, now time.Time) ([]launch, int) {
	permits := s.permitsOf(c)
	waiting := c.entry.flow.Waiting(c.ref)
	if c.entry.flow.Step(c.ref).Gang {
		return s.placeGang(c, permits, waiting, now)
	}
	var launches []launch
	for i, index := range waiting {
		task := workflow.TaskRef{StepRef: c.ref, Index: index}
		if !c.entry.flow.MayStart(task, c.queue.MaxAttempts) {
			continue
		}
		k := s.choose(c, permits, task, "", now)
		if k == nil && len(c.entry.avoid[task]) == 0 {
			return launches, len(waiting) - i // the further tasks are alike
		}
		if k == nil {
			continue
		}
		run := c.entry.flow.NextRun(task, s.firstRun())
		launches = append(launches, s.reserve(c, permits, k, workflow.RunRef{Task: task, Run: run}, now))
	}
	return launches, len(waiting) - len(launches)
}

// placeGang starts all tasks of a gang or none.
func (s *Scheduler) placeGang(
	c candidate, permits *permit.Permits, waiting []int, now time.Time,
) ([]launch, int) {
	step := c.entry.flow.Step(c.ref)
	first := workflow.TaskRef{StepRef: c.ref}
	if len(waiting) < step.Count || !c.entry.flow.MayStart(first, c.queue.MaxAttempts) {
		return nil, 0 // members of an earlier run are still there
	}
	run := c.entry.flow.NextRun(first, s.firstRun())
	for _, rack := range s.racks(step) {
		if launches := s.tryGang(c, permits, run, rack, now); launches != nil {
			return launches, 0
		}
	}
	return nil, step.Count
}

// racks returns the racks to try for a gang; the empty one stands for all.
func (s *Scheduler) racks(step *workflow.Step) []string {
	if !step.SameRack {
		return []string{""}
	}
	var racks []string
	for _, k := range s.keepers {
		if rack := k.worker.Entry().Rack; !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

func (s *Scheduler) tryGang(
	c candidate, permits *permit.Permits, run workflow.Run, rack string, now time.Time,
) []launch {
	var launches []launch
	for index := range c.entry.flow.Step(c.ref).Count {
		task := workflow.TaskRef{StepRef: c.ref, Index: index}
		k := s.choose(c, permits, task, rack, now)
		if k == nil {
			for _, l := range launches {
				l.keeper.worker.Release(l.order.RunRef)
				c.entry.flow.Forget(l.order.RunRef, l.target.Worker)
			}
			return nil
		}
		launches = append(launches, s.reserve(c, permits, k, workflow.RunRef{Task: task, Run: run}, now))
	}
	return launches
}

// choose returns the best worker for a task, or nil. A rack restricts the choice unless it is empty.
func (s *Scheduler) choose(
	c candidate, permits *permit.Permits, task workflow.TaskRef, rack string, now time.Time,
) *keeper {
	request := pool.Request{
		Ref: c.ref, Step: c.entry.flow.Step(c.ref), Service: c.queue.Service, Avoid: c.entry.avoid[task], Now: now,
	}
	var best *keeper
	var bestScore float64
	for id, k := range s.keepers {
		if !s.recorded[id] || rack != "" && k.worker.Entry().Rack != rack || !k.worker.Eligible(&request) {
			continue
		}
		if _, ok := ticketFor(permits, id, k.worker.Entry().Born, now); !ok {
			continue
		}
		score := k.worker.Score(&request)
		if best == nil || score < bestScore || score == bestScore && id < best.worker.Entry().ID {
			best, bestScore = k, score
		}
	}
	return best
}

// reserve takes room for a run that choose found a worker for.
func (s *Scheduler) reserve(
	c candidate, permits *permit.Permits, k *keeper, ref workflow.RunRef, now time.Time,
) launch {
	worker := k.worker.Entry()
	k.worker.Adopt(ref, c.entry.flow.Step(c.ref))
	c.entry.flow.Start(workflow.Placement{RunRef: ref, Worker: worker.ID}, now)
	until, _ := k.worker.HoldUntil(s.settings.holdLength(), now)
	ticket, _ := ticketFor(permits, worker.ID, worker.Born, now)
	return launch{
		keeper: k, entry: c.entry, target: k.target(),
		order: port.StartOrder{
			RunRef: ref, Payload: c.entry.flow.Spec().Payload, Checkpoint: c.entry.flow.Checkpoint(ref.Task),
			Ticket: ticket, Token: s.term.Token, HoldUntil: until,
		},
	}
}
