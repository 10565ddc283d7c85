package workflow_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// TestMostUnknown guards against a bound of what unknown runs of a job may take that leaves out a task which may be running.
func TestMostUnknown(t *testing.T) {
	size, now := resource.Vector{MilliCores: 100}, time.Now()
	run := func(index int) workflow.Placement {
		return workflow.Placement{RunRef: workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: "job"}, Index: index}, Run: 1}, Worker: "w"}
	}
	for name, test := range map[string]struct {
		spec  workflow.Spec
		tasks int64
	}{
		"one of four tasks is known to run": {workflow.Spec{Steps: []workflow.Step{{Count: 4, Size: size}}}, 3},
		"a later step":                      {workflow.Spec{Steps: []workflow.Step{{Count: 4, Size: size}, {Count: 2, Size: size, DependsOn: []int{0}}}}, 5},
		"copies":                            {workflow.Spec{Steps: []workflow.Step{{Count: 4, Size: size, Speculative: true}}}, 4},
		"gang":                              {workflow.Spec{Steps: []workflow.Step{{Count: 4, Size: size, Gang: true}}}, 4},
		"occurrences that are due": {
			workflow.Spec{Steps: []workflow.Step{{Count: 4, Size: size}}, Occurrences: 5, FirstAt: now.Add(-90 * time.Second), Period: time.Minute}, 7,
		},
	} {
		test.spec.ID = "job"
		w := workflow.New(test.spec)
		w.Start(run(0))
		if got := w.MostUnknown(now).MilliCores; got != 100*test.tasks {
			t.Errorf("%s: %d millicores, want those of %d tasks", name, got, test.tasks)
		}
	}
}
