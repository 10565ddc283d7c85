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
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// tick is how often the placement looks without a cause: the times of occurrences come, and pauses of workers end.
const tick = 100 * time.Millisecond

// runsPerTerm bounds the runs of one task in one term. Runs are numbered from the term on, so that those of a new
// leader are higher than any that an earlier one ordered without a trace.
const runsPerTerm = 1000

func (s *Scheduler) firstRun() workflow.RunNumber {
	return workflow.RunNumber((s.term.Number - 1) * runsPerTerm)
}

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
		pause.For(ctx, placePause)
	}
}

// placePause bounds the work of placing while much happens at once.
const placePause = 4 * time.Millisecond

// candidate is a step with tasks to start.
type candidate struct {
	entry   *entry
	ref     workflow.StepRef
	queue   route.Queue
	permits *permit.Permits // nil where the queue needs none
	options []option
}

// option is a worker that may run tasks of a step, as far as its queue's policy goes.
type option struct {
	keeper *keeper
	ticket string
}

// place decides which tasks start now, and for which steps permits are asked.
func (s *Scheduler) place(now time.Time) ([]launch, []question) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountFor(now)
	var launches []launch
	var questions []question
	for _, c := range s.candidates(now) {
		c.permits = s.permitsOf(c)
		c.options = s.optionsFor(c, now)
		placed, left := s.placeStep(c, now)
		launches = append(launches, placed...)
		if left == 0 || c.queue.PermitPolicy == nil {
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
			list = append(list, candidate{entry: e, ref: ref, queue: queue})
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

// optionsFor returns the workers that may run tasks of a step. The lock is held.
func (s *Scheduler) optionsFor(c candidate, now time.Time) []option {
	var options []option
	if c.permits == nil {
		for id, k := range s.keepers {
			if s.recorded[id] {
				options = append(options, option{keeper: k})
			}
		}
		return options
	}
	for worker, ticket := range c.permits.Tickets(now) {
		k := s.keepers[worker.ID]
		if k != nil && s.recorded[worker.ID] && k.worker.Info().Incarnation == worker.Incarnation {
			options = append(options, option{k, ticket})
		}
	}
	return options
}

// placeStep starts tasks of a step and returns how many are left.
func (s *Scheduler) placeStep(c candidate, now time.Time) ([]launch, int) {
	waiting := c.entry.flow.Waiting(c.ref)
	if c.entry.flow.Step(c.ref).Gang {
		return s.placeGang(c, waiting, now)
	}
	var launches []launch
	for i, index := range waiting {
		task := workflow.TaskRef{StepRef: c.ref, Index: index}
		if !c.entry.flow.HasAttemptsLeft(task, c.queue.MaxAttempts) {
			continue
		}
		run := workflow.RunRef{Task: task, Run: c.entry.flow.NextRun(task, s.firstRun())}
		l, ok := s.reserve(c, run, "", now)
		if !ok && len(c.entry.avoid[task]) == 0 {
			return launches, len(waiting) - i // the further tasks are alike
		}
		if ok {
			launches = append(launches, l)
		}
	}
	return launches, len(waiting) - len(launches)
}

// placeGang starts all tasks of a gang or none.
func (s *Scheduler) placeGang(c candidate, waiting []int, now time.Time) ([]launch, int) {
	step := c.entry.flow.Step(c.ref)
	first := workflow.TaskRef{StepRef: c.ref}
	if len(waiting) < step.Count || !c.entry.flow.HasAttemptsLeft(first, c.queue.MaxAttempts) {
		return nil, 0 // members of an earlier run are still there
	}
	run := c.entry.flow.NextRun(first, s.firstRun())
	for _, rack := range s.racks(step) {
		if launches := s.tryGang(c, run, rack, now); launches != nil {
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
		if rack := k.worker.Info().Rack; !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

func (s *Scheduler) tryGang(c candidate, run workflow.RunNumber, rack string, now time.Time) []launch {
	var launches []launch
	for index := range c.entry.flow.Step(c.ref).Count {
		task := workflow.TaskRef{StepRef: c.ref, Index: index}
		l, ok := s.reserve(c, workflow.RunRef{Task: task, Run: run}, rack, now)
		if !ok {
			for _, l := range launches {
				l.keeper.worker.Release(l.order.RunRef)
				c.entry.flow.DropRun(l.order.RunRef, l.target.Worker)
			}
			return nil
		}
		launches = append(launches, l)
	}
	return launches
}

// reserve takes room for a run on the best worker. A rack restricts the choice unless it is empty. It reports false when
// no worker will do.
func (s *Scheduler) reserve(c candidate, ref workflow.RunRef, rack string, now time.Time) (launch, bool) {
	step := c.entry.flow.Step(c.ref)
	best := c.choose(ref.Task, rack, now)
	if best.keeper == nil {
		return launch{}, false
	}
	worker := best.keeper.worker
	free := worker.Free().String()
	if worker.Reserve(ref, step) != nil {
		return launch{}, false
	}
	checkpoint := c.entry.flow.Checkpoint(ref.Task)
	worker.Run(ref).Partial = checkpoint != ""
	c.entry.flow.Start(workflow.Placement{RunRef: ref, Worker: worker.Info().ID})
	until, _ := worker.ExtendLease(s.settings.holdLength(), now)
	return launch{
		keeper: best.keeper, entry: c.entry, target: best.keeper.target(), seen: worker.SilentFor(now), free: free,
		order: port.StartRequest{
			RunRef: ref, Payload: c.entry.flow.Spec().Payload, Checkpoint: checkpoint,
			Ticket: best.ticket, Token: s.term.Token, LeaseUntil: until,
		},
	}, true
}

// choose returns the best worker for a task; one without a keeper when none will do.
func (c *candidate) choose(task workflow.TaskRef, rack string, now time.Time) option {
	request := pool.Request{
		Ref: c.ref, Step: c.entry.flow.Step(c.ref), Service: c.queue.Service, Avoid: c.entry.avoid[task], Now: now,
		Urgent: c.queue.HasTopPriority(),
	}
	var best option
	var bestScore float64
	for _, o := range c.options {
		worker := o.keeper.worker
		if rack != "" && worker.Info().Rack != rack || !worker.Eligible(&request) {
			continue
		}
		score := worker.Score(&request)
		tie := best.keeper != nil && score == bestScore && worker.Info().ID < best.keeper.worker.Info().ID
		if best.keeper == nil || score < bestScore || tie {
			best, bestScore = o, score
		}
	}
	return best
}
