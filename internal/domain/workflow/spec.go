// Package workflow holds the aggregate of a job whose steps depend on one another: which tasks may run now, which runs
// of a task count, and what the job's state is.
package workflow

import (
	"strconv"
	"strings"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// ID is chosen by the caller and unique within the cell.
type ID string

// RunNumber numbers the starts of a task. It rises, also over terms of leaders.
type RunNumber uint64

// Bounds of a job.
const (
	MaxSteps       = 64
	MaxTasks       = 20_000 // of all steps and occurrences together
	MaxOccurrences = 1_000
)

// Step is one kind of task of a job.
type Step struct {
	Count          int
	Size           resource.Vector // of each task
	Estimate       time.Duration   // rough
	DependsOn      []int           // earlier steps whose tasks must all have ended done
	Gang           bool            // the tasks only work together
	SameRack       bool            // the tasks of a gang are slower over several racks
	Checkpointing  bool
	Speculative    bool // copies may run in parallel
	LongRunning    bool // runs until cancelled; restarted however it ends
	BestEffort     bool // takes the processors that others leave unused
	RequiredLabel  string
	DataRack       string        // tasks are slower on other racks
	MaxPerWorker   int           // 0: no bound
	Image          string        // tasks of one image behave alike
	LatencyTarget  time.Duration // bound of the response times that a long-running task gives its users; 0: none
	MaxUnavailable int           // tasks of a long-running step that may be away through acts of the system
}

// Spec is what a caller submits. It never changes.
type Spec struct {
	ID          ID
	Queue       string
	Payload     string
	Steps       []Step
	Occurrences int // 0: the steps run once, at once
	FirstAt     time.Time
	Period      time.Duration
}

// OccurrenceCount returns how often the steps run.
func (s *Spec) OccurrenceCount() int { return max(s.Occurrences, 1) }

// Due returns when an occurrence may begin; the zero time for a job without occurrences.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Occurrences == 0 {
		return time.Time{}
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Period)
}

// Validate refuses a submission that cannot be run as written. The error names the field.
func (s *Spec) Validate() error {
	if s.ID == "" {
		return fault.New(fault.Invalid, "the job's id is empty")
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fault.New(fault.Invalid, "steps: %d given; want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences {
		return fault.New(fault.Invalid, "occurrences is %d; want 0 to %d", s.Occurrences, MaxOccurrences)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count * s.OccurrenceCount()
		if tasks > MaxTasks {
			return fault.New(fault.Invalid, "steps: over %d tasks in all", MaxTasks)
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fault.New(fault.Invalid, "steps[%d].count is %d; want 1 to %d", index, s.Count, MaxTasks)
	}
	if s.Size.MilliCores < 0 || s.Size.MemoryBytes < 0 || s.Size.Accelerators < 0 {
		return fault.New(fault.Invalid, "steps[%d]: a size is negative", index)
	}
	for _, earlier := range s.DependsOn {
		if earlier < 0 || earlier >= index {
			return fault.New(fault.Invalid, "steps[%d].after names step %d; want an earlier one", index, earlier)
		}
	}
	return nil
}

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns JOB.OCCURRENCE.STEP.
func (s StepRef) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskRef names a task.
type TaskRef struct {
	StepRef
	Index int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskRef) String() string { return t.StepRef.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskRef is the inverse of TaskRef.String. It fails with Invalid.
func ParseTaskRef(text string) (TaskRef, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskRef{}, fault.New(fault.Invalid, "task %q: want JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskRef{}, fault.New(fault.Invalid, "task %q: want JOB.OCCURRENCE.STEP.INDEX", text)
		}
		numbers[i] = n
	}
	return TaskRef{StepRef{ID(parts[0]), numbers[0], numbers[1]}, numbers[2]}, nil
}

// RunRef names one run of a task.
type RunRef struct {
	Task TaskRef
	Run  RunNumber
}

// Outcome tells how a run ended.
type Outcome uint8

// Ways in which a run ends.
const (
	Done           Outcome = iota
	Failed                 // through its own fault or the worker's
	Stopped                // on an order
	LeaseExpired           // its hold ran out
	GangBroken             // another member of its gang ended
	GangIncomplete         // the other members of its gang did not come
	Lost                   // the worker restarted, or left
)

// String returns the name of the way.
func (h Outcome) String() string {
	names := [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}
	if int(h) >= len(names) {
		return "unknown"
	}
	return names[h]
}

// End is the end of a run.
type End struct {
	Run        RunRef
	Outcome    Outcome
	Checkpoint string
}

// State is what a caller is told of a job.
type State uint8

// States of a job.
const (
	Pending State = iota // no task has started
	Running
	Completed
	FailedState
	Cancelled
)

// Final reports whether the state does not change any more.
func (s State) Final() bool { return s >= Completed }

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"pending", "running", "completed", "failed", "cancelled"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Placement is a run on a worker.
type Placement struct {
	RunRef
	Worker ident.WorkerID
}
