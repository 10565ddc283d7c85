// Package job holds the rules of one job: which of its tasks may be attempted, what the end of an attempt means, and
// when the job is complete.
package job

import (
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
)

// Bounds of a job.
const (
	// MaxBatch is the most tasks of a batch.
	MaxBatch = 10_000
	// MaxGang is the most tasks of a gang. All of them are reserved and started within one reservation's expiry.
	MaxGang = 256
	// MaxStanding is the most tasks of a standing job. All of them are in flight at the same time.
	MaxStanding = 1_000
	// MaxInFlight is the most tasks of one job in flight. It bounds the goroutines and the streams that one job takes.
	MaxInFlight = 1024
	// keep is how long after its deadline a job is kept for callers that ask again.
	keep = 24 * time.Hour
	// keepStanding is how long a standing job is kept. It runs until it is canceled, for a season at the longest.
	keepStanding = 365 * 24 * time.Hour
)

// MaxTasks returns the most tasks of a job of the class; 0 for requests.
func MaxTasks(class work.Class) uint32 {
	switch class {
	case work.Batch:
		return MaxBatch
	case work.Gang:
		return MaxGang
	case work.Standing:
		return MaxStanding
	default:
		return 0
	}
}

// Job is the aggregate of one job. Its tasks have the indexes 1 to Tasks; index 0 belongs to requests.
type Job struct {
	mu       sync.Mutex
	id       ident.WorkID
	digest   uint64
	plan     journal.JobSpec
	random   *rand.Rand
	tasks    []task
	waiting  []uint32 // indexes, in the order in which they are attempted
	inFlight int
	counts   [stateCount]int
	attempts int
	canceled bool
	round    round // of a gang
	version  uint64
}

type task struct {
	state    State
	attempt  ident.Attempt
	failures int       // attempts that failed by the task's own fault
	refusals int       // attempts in a row that did not start, or ended soon
	ready    time.Time // earliest time of the next attempt
	result   journal.Result
	intended bool // a former home recorded the intent to start it
	began    bool // it ran before, or may have
}

// New returns a job of which no task was attempted. The seed decides the jitter of pauses.
func New(id ident.WorkID, digest uint64, plan journal.JobSpec, seed uint64) *Job {
	j := &Job{
		id: id, digest: digest, plan: plan, random: rand.New(rand.NewPCG(seed, seed)),
		tasks: make([]task, plan.Tasks), waiting: make([]uint32, plan.Tasks), version: 1,
	}
	for i := range j.waiting {
		j.waiting[i] = uint32(i + 1)
	}
	j.counts[Waiting] = len(j.tasks)
	return j
}

// ID returns the job's id.
func (j *Job) ID() ident.WorkID { return j.id }

// Class returns the class of the job's kind.
func (j *Job) Class() work.Class { return j.plan.Class }

// Repeatable reports whether the job's tasks may run more than once.
func (j *Job) Repeatable() bool { return j.plan.Repeatable }

// MatchesDigest reports whether a submission with the digest is the one that made the job.
func (j *Job) MatchesDigest(digest uint64) bool { return j.digest == digest }

// Expires returns when the job's records may be dropped.
func (j *Job) Expires() time.Time { return Expires(j.plan) }

// Expires returns when the records of a job may be dropped.
func Expires(plan journal.JobSpec) time.Time {
	if plan.Class == work.Standing {
		return plan.Deadline.Add(keepStanding)
	}
	return plan.Deadline.Add(keep)
}

func (j *Job) task(index uint32) *task {
	if index == 0 || int(index) > len(j.tasks) {
		return nil
	}
	return &j.tasks[index-1]
}

func (j *Job) taskID(index uint32) ident.TaskID {
	return ident.TaskID{Work: j.id, Index: index}
}

// move changes the state of a task and the counts of the job.
func (j *Job) move(t *task, state State) {
	j.counts[t.state]--
	j.counts[state]++
	if t.state == Running {
		j.inFlight--
	}
	if state == Running {
		j.inFlight++
	}
	t.state = state
	j.version++
}

// Cancel ends every waiting task and returns the tasks in flight, which must be stopped. It may be repeated.
func (j *Job) Cancel() []ident.TaskID {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.canceled = true
	j.version++
	for _, index := range j.waiting {
		j.move(j.task(index), Canceled)
	}
	j.waiting = nil
	return j.running()
}

// Canceled reports whether the job was canceled.
func (j *Job) Canceled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.canceled
}

func (j *Job) running() []ident.TaskID {
	tasks := make([]ident.TaskID, 0, j.inFlight)
	for i := range j.tasks {
		if j.tasks[i].state == Running {
			tasks = append(tasks, j.taskID(uint32(i+1)))
		}
	}
	return tasks
}

// Restore applies a record of a former home. Outcomes and cancellations may arrive in any order.
func (j *Job) Restore(record journal.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(record.Index)
	switch {
	case record.Kind == journal.Canceled:
		j.canceled = true
	case t == nil:
	case record.Kind == journal.Intent:
		t.intended, t.attempt = true, max(t.attempt, record.Attempt)
	case record.Kind == journal.Outcome:
		t.result = record.Result
		j.move(t, stateOf(record.Result))
	}
}

// ReattachResult is what follows from the attempts that owners hold.
type ReattachResult struct {
	Follow []work.Spec // attempts to wait for; each must be followed by a call of Ended
	Decision
}

// Reattach tells which attempts owners hold, after every record was restored. Work that is not repeatable, was started
// by a former home and is not held ends as unknown. The tasks of a canceled job are stopped, and so are those of a
// gang of which some tasks do not run. The other tasks wait for their next attempt.
func (j *Job) Reattach(held map[uint32]ident.Attempt) ReattachResult {
	j.mu.Lock()
	defer j.mu.Unlock()
	var a ReattachResult
	j.waiting = j.waiting[:0]
	for i := range j.tasks {
		index, t := uint32(i+1), &j.tasks[i]
		attempt, isHeld := held[index]
		t.began = true
		switch {
		case t.state.Ended() && isHeld:
			a.Stop = append(a.Stop, j.taskID(index))
		case t.state.Ended():
		case isHeld:
			t.attempt = attempt
			j.move(t, Running)
			a.Follow = append(a.Follow, j.spec(index))
		case t.intended:
			a.Records = append(a.Records, j.end(index, journal.Result{Unknown: true, Message: unknownMessage}))
		case j.canceled:
			j.move(t, Canceled)
		default:
			j.waiting = append(j.waiting, index)
		}
	}
	broken := false
	if j.plan.Class == work.Gang && len(a.Follow) > 0 {
		j.round.resume(a.Follow, len(j.waiting)+len(a.Records))
		j.waiting = j.waiting[:0]
		broken = j.round.broken
	}
	if j.canceled || broken {
		a.Stop = append(a.Stop, j.running()...)
	}
	return a
}

const unknownMessage = "the task was started; its outcome is not known"
