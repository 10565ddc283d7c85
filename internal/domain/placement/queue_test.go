package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/workflow"
)

type queuedStep struct{ position placement.Position }

func (s *queuedStep) Position() *placement.Position { return &s.position }

// TestQueueKeepsOrder guards against a step that is lost, listed twice or out of order after changes.
func TestQueueKeepsOrder(t *testing.T) {
	began := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		var queue placement.Queue[*queuedStep]
		model := map[placement.Position]*queuedStep{}
		for range rapid.IntRange(0, 40).Draw(rt, "changes") {
			step := &queuedStep{placement.Position{
				Ref:     workflow.StepRef{Job: workflow.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "job")), Step: rapid.IntRange(0, 2).Draw(rt, "step")},
				Overdue: rapid.Bool().Draw(rt, "overdue"), Priority: rapid.IntRange(0, 1).Draw(rt, "priority"),
				Accepted: began.Add(time.Duration(rapid.IntRange(0, 1).Draw(rt, "age"))),
			}}
			switch rapid.IntRange(0, 4).Draw(rt, "change") {
			case 0:
				queue.Remove(&step.position)
				delete(model, step.position)
			case 1:
				queue.Reset(slices.Clone(queue.Steps()))
			default:
				queue.Add(step)
				model[step.position] = step
			}
			steps := queue.Steps()
			if len(steps) != len(model) || queue.Len() != len(model) {
				rt.Fatalf("%d steps in the queue, want %d", len(steps), len(model))
			}
			for i, s := range steps {
				if model[s.position] != s {
					rt.Fatalf("step %+v is not the last that was added at its position", s.position)
				}
				if i > 0 && steps[i-1].position.Compare(&s.position) >= 0 {
					rt.Fatalf("step %+v does not follow %+v", s.position, steps[i-1].position)
				}
			}
		}
	})
}

// TestScheduleReturnsDueValues guards against a value that is returned early, twice or never.
func TestScheduleReturnsDueValues(t *testing.T) {
	began := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		var schedule placement.Schedule[int]
		due := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 20).Draw(rt, "due")
		for i, at := range due {
			schedule.Add(began.Add(time.Duration(at)), i)
		}
		var got []string
		for now := range 7 {
			for i, ok := schedule.TakeDue(began.Add(time.Duration(now))); ok; i, ok = schedule.TakeDue(began.Add(time.Duration(now))) {
				if due[i] != now {
					rt.Fatalf("value %d is due at %d, returned at %d", i, due[i], now)
				}
				got = append(got, fmt.Sprint(i))
			}
		}
		slices.Sort(got)
		if len(got) != len(due) || len(slices.Compact(got)) != len(due) {
			rt.Fatalf("returned %v, want each of %d values once", got, len(due))
		}
	})
}
