// Package job implements the state machine of a job: which of its tasks to attempt, whether to retry a task after an
// attempt, and when the job is complete.
package job

import (
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/journal"
	"skylarkstall/internal/domain/work"
)

// Limits of a job.
const (
	// MaxBatchTasks is the maximum number of tasks of a batch job.
	MaxBatchTasks = 10_000
	// MaxGangTasks is the maximum number of tasks of a gang. All of them must be reserved and started before the first
	// reservation expires.
	MaxGangTasks = 256
	// MaxStandingTasks is the maximum number of tasks of a standing job. All of them are in flight at the same time.
	MaxStandingTasks = 1_000
	// MaxInFlight is the maximum number of tasks of one job in flight. It bounds the goroutines and streams of a job.
	MaxInFlight = 1024
	// retention is how long after its deadline a job is kept for callers that query it.
	retention = 24 * time.Hour
	// standingRetention is how long after its deadline a standing job is kept. It runs until it is canceled, at most
	// for one season.
	standingRetention = 365 * 24 * time.Hour
)

// MaxTasks returns the maximum number of tasks of a job of the class; 0 for requests.
func MaxTasks(class work.Class) uint32 {
	switch class {
	case work.Batch:
		return MaxBatchTasks
	case work.Gang:
		return MaxGangTasks
	case work.Standing:
		return MaxStandingTasks
	default:
		return 0
	}
}

// Job is the state of one job. Its tasks have the indexes 1 to the number of tasks; index 0 is that of a request. Job
// is safe for concurrent use.
type Job struct {
	mu       sync.Mutex
	id       ident.WorkID
	digest   uint64
	jobSpec  journal.JobSpec
	random   *rand.Rand
	tasks    []task
	waiting  []uint32 // indexes of the waiting tasks in the order in which they are attempted
	inFlight int
	counts   [stateCount]int
	attempts int
	canceled bool
	round    gangRound // current round of a gang
	version  uint64
}

type task struct {
	state              State
	attempt            ident.Attempt
	failures           int       // attempts in which the task itself failed
	consecutiveRetries int       // retries since the last attempt that ran for stableRunTime
	notBefore          time.Time // earliest time of the next attempt
	result             journal.Result
	hasIntent          bool // a previous home recorded the intent to start it
	mayHaveRun         bool // an earlier attempt ran or may have run
}

// New returns a job whose tasks have not been attempted yet. The seed determines the jitter of retry delays.
func New(id ident.WorkID, digest uint64, jobSpec journal.JobSpec, seed uint64) *Job {
	j := &Job{
		id: id, digest: digest, jobSpec: jobSpec, random: rand.New(rand.NewPCG(seed, seed)),
		tasks: make([]task, jobSpec.Tasks), waiting: make([]uint32, jobSpec.Tasks), version: 1,
	}
	for i := range j.waiting {
		j.waiting[i] = uint32(i + 1)
	}
	j.counts[Waiting] = len(j.tasks)
	return j
}

// ID returns the id of the job.
func (j *Job) ID() ident.WorkID { return j.id }

// Class returns the class of the job.
func (j *Job) Class() work.Class { return j.jobSpec.Class }

// Repeatable reports whether the job's tasks may run more than once.
func (j *Job) Repeatable() bool { return j.jobSpec.Repeatable }

// MatchesDigest reports whether a submission with the given content digest is the one that created the job.
func (j *Job) MatchesDigest(digest uint64) bool { return j.digest == digest }

// Expires returns the time from which the job's records may be removed.
func (j *Job) Expires() time.Time { return Expires(j.jobSpec) }

// Expires returns the time from which the records of a job may be removed.
func Expires(jobSpec journal.JobSpec) time.Time {
	if jobSpec.Class == work.Standing {
		return jobSpec.Deadline.Add(standingRetention)
	}
	return jobSpec.Deadline.Add(retention)
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

// setState changes the state of a task and updates the counts of the job.
func (j *Job) setState(t *task, state State) {
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

// Cancel ends every waiting task and returns the tasks in flight, which the caller must stop. It is idempotent.
func (j *Job) Cancel() []ident.TaskID {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.canceled = true
	j.version++
	for _, index := range j.waiting {
		j.setState(j.task(index), Canceled)
	}
	j.waiting = nil
	return j.runningTasks()
}

// Canceled reports whether the job was canceled.
func (j *Job) Canceled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.canceled
}

func (j *Job) runningTasks() []ident.TaskID {
	tasks := make([]ident.TaskID, 0, j.inFlight)
	for i := range j.tasks {
		if j.tasks[i].state == Running {
			tasks = append(tasks, j.taskID(uint32(i+1)))
		}
	}
	return tasks
}

// Restore applies a journal record written by a previous home. Outcomes and cancellations may be applied in any order.
func (j *Job) Restore(record journal.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(record.Index)
	switch {
	case record.Kind == journal.Canceled:
		j.canceled = true
	case t == nil:
	case record.Kind == journal.Intent:
		t.hasIntent, t.attempt = true, max(t.attempt, record.Attempt)
	case record.Kind == journal.Outcome:
		t.result = record.Result
		j.setState(t, finalState(record.Result))
	}
}

// ReattachResult is the result of attaching a restored job to the attempts that owners hold.
type ReattachResult struct {
	Follow []work.Spec // attempts to wait for; the caller must report the end of each
	Decision
}

// Reattach attaches the job to the attempts that owners hold, by task index, after all records have been restored. A
// task that may have been started by a previous home, is not repeatable and is not held ends as Unknown. The tasks of a
// canceled job are stopped, as are those of a gang of which only some tasks are held. All other tasks wait for their
// next attempt.
func (j *Job) Reattach(held map[uint32]ident.Attempt) ReattachResult {
	j.mu.Lock()
	defer j.mu.Unlock()
	var a ReattachResult
	j.waiting = j.waiting[:0]
	for i := range j.tasks {
		index, t := uint32(i+1), &j.tasks[i]
		attempt, isHeld := held[index]
		t.mayHaveRun = true
		switch {
		case t.state.Ended() && isHeld:
			a.Stop = append(a.Stop, j.taskID(index))
		case t.state.Ended():
		case isHeld:
			t.attempt = attempt
			j.setState(t, Running)
			a.Follow = append(a.Follow, j.attemptSpec(index))
		case t.hasIntent:
			a.Records = append(a.Records, j.endTask(index, journal.Result{Unknown: true, Message: unknownMessage}))
		case j.canceled:
			j.setState(t, Canceled)
		default:
			j.waiting = append(j.waiting, index)
		}
	}
	failed := false
	if j.jobSpec.Class == work.Gang && len(a.Follow) > 0 {
		j.round.resume(a.Follow, len(j.waiting)+len(a.Records))
		j.waiting = j.waiting[:0]
		failed = j.round.failed
	}
	if j.canceled || failed {
		a.Stop = append(a.Stop, j.runningTasks()...)
	}
	return a
}

const unknownMessage = "the task was started; its outcome is not known"
