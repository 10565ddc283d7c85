// Package workflow models a job whose steps depend on one another: which tasks may start, which runs of a task count,
// and the state of the job.
package workflow

import (
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// ID identifies a job. It is chosen by the caller and unique within the cell.
type ID string

// RunNumber is the number of a run among the runs of its task. Numbers increase, also from one leader's term to the
// next.
type RunNumber uint64

// Limits of a job.
const (
	MaxSteps       = 64
	MaxTasks       = 20_000 // of all steps and occurrences together
	MaxOccurrences = 1_000
)

// Step is a group of tasks of the same kind.
type Step struct {
	Count          int
	Size           resource.Vector // of each task
	Estimate       time.Duration   // of the duration of a task; rough
	DependsOn      []int           // indexes of earlier steps whose tasks must all be done
	Gang           bool            // the tasks run all together or not at all
	SameRack       bool            // prefer one rack for a gang, whose tasks are slower across racks
	Checkpointing  bool
	Speculative    bool // copies of a task may run in parallel
	LongRunning    bool // the tasks run until cancelled and are restarted however they end
	BestEffort     bool // the tasks use processors that others leave unused, and reserve none
	RequiredLabel  string
	DataRack       string        // tasks are slower on other racks
	MaxPerWorker   int           // maximum number of tasks at once on one worker; 0: no limit
	Image          string        // tasks with the same image behave alike
	LatencyTarget  time.Duration // upper bound of the tail latency of a long-running task; 0: none
	MaxUnavailable int           // maximum number of tasks of a long-running step that the system may make unavailable at once
}

// AllowsCopies reports whether copies of a task may run in parallel. A single member of a gang has no use for one, because members
// work only with those of the same run.
func (s *Step) AllowsCopies() bool { return s.Speculative && !s.Gang }

// Spec is a job as the caller submitted it. It never changes.
type Spec struct {
	ID          ID
	Queue       string
	Payload     string
	Steps       []Step
	Occurrences int       // 0: the steps run once, immediately
	FirstAt     time.Time // when the first occurrence is due
	Period      time.Duration
}

// HasGang reports whether a step is a gang.
func (s *Spec) HasGang() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.Gang })
}

// OccurrenceCount returns how many times the steps run, at least 1.
func (s *Spec) OccurrenceCount() int { return max(s.Occurrences, 1) }

// Due returns when an occurrence may start; the zero time for a job without occurrences.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Occurrences == 0 {
		return time.Time{}
	}
	return s.FirstAt.Add(time.Duration(occurrence) * s.Period)
}

// MaxIDBytes is the maximum length of a job's id. Keys of the store, which contain it, have at most 200 bytes.
const MaxIDBytes = 128

// Validate fails with Invalid if no job can have the id.
func (id ID) Validate() error {
	if id == "" || len(id) > MaxIDBytes || !utf8.ValidString(string(id)) {
		return fault.New(fault.Invalid, "the job's id %q is empty, longer than %d bytes or not valid UTF-8", string(id), MaxIDBytes)
	}
	return nil
}

// Validate validates a submission. It fails with Invalid; the error names the field.
func (s *Spec) Validate() error {
	if err := s.ID.Validate(); err != nil {
		return err
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fault.New(fault.Invalid, "steps has %d elements; want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences {
		return fault.New(fault.Invalid, "occurrences is %d; want 0 to %d", s.Occurrences, MaxOccurrences)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count * s.OccurrenceCount()
		if tasks > MaxTasks {
			return fault.New(fault.Invalid, "steps: more than %d tasks in total, over all occurrences", MaxTasks)
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fault.New(fault.Invalid, "steps[%d].count is %d; want 1 to %d", index, s.Count, MaxTasks)
	}
	if s.Size.MilliCores < 0 || s.Size.MemoryBytes < 0 || s.Size.Accelerators < 0 {
		return fault.New(fault.Invalid, "steps[%d]: a resource size is negative", index)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return fault.New(fault.Invalid, "steps[%d].after names step %d; want an earlier step", index, dependency)
		}
	}
	return nil
}

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns JOB.OCCURRENCE.STEP.
func (s StepRef) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskRef identifies a task.
type TaskRef struct {
	StepRef
	Index int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskRef) String() string { return t.StepRef.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskRef parses the format of TaskRef.String. It fails with Invalid.
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

// RunRef identifies one run of a task.
type RunRef struct {
	Task TaskRef
	Run  RunNumber
}

// Outcome is the way in which a run ended.
type Outcome uint8

// Ways in which a run ends.
const (
	Done           Outcome = iota
	Failed                 // because of the task or the worker
	Stopped                // on request
	LeaseExpired           // the worker's lease expired
	GangBroken             // another member of its gang ended
	GangIncomplete         // other members of its gang did not start in time
	Lost                   // the worker restarted or is gone
)

// String returns the name of the outcome as workers report it and as it is logged.
func (o Outcome) String() string {
	names := [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// End describes how a run ended.
type End struct {
	Run        RunRef
	Outcome    Outcome
	Checkpoint string
}

// State is the state of a job as callers see it.
type State uint8

// States of a job.
const (
	Pending State = iota // no task has started
	Running
	Completed
	FailedState
	Cancelled
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Completed }

func (s State) String() string {
	names := [...]string{"pending", "running", "completed", "failed", "cancelled"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Placement is a run and the worker on which it was placed.
type Placement struct {
	RunRef
	Worker ident.WorkerID
}
