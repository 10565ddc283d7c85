package objective_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
)

// diamond has two branches between its first and its last step.
func diamond(estimates ...time.Duration) []workflow.Step {
	return []workflow.Step{
		{Estimate: estimates[0]},
		{Estimate: estimates[1], DependsOn: []int{0}},
		{Estimate: estimates[2], DependsOn: []int{0}},
		{Estimate: estimates[3], DependsOn: []int{1, 2}},
	}
}

// TestPlanFollowsLongestChain guards against a job that is judged by the sum of its steps, or by one of its shorter branches.
func TestPlanFollowsLongestChain(t *testing.T) {
	plan := objective.NewPlan(diamond(time.Second, 2*time.Second, 5*time.Second, time.Second), 0, 100*time.Millisecond)
	if got, want := plan.Chain(), 7*time.Second; got != want {
		t.Errorf("the chain takes %v, want %v", got, want)
	}
	for step, want := range []time.Duration{7300, 3200, 6200, 1100} {
		if got := plan.Remaining(step); got != want*time.Millisecond {
			t.Errorf("from step %d the job takes %v, want %v", step, got, want*time.Millisecond)
		}
	}
}

// TestPlanCorrectsEstimates guards against a job that loses its place because its caller's estimate is off by 90%.
func TestPlanCorrectsEstimates(t *testing.T) {
	var history objective.History
	for range 30 {
		history.Observe(4 * time.Second)
	}
	plan := objective.NewPlan(diamond(400*time.Millisecond, 7600*time.Millisecond, 0, 5*time.Second), history.Typical(), 0)
	if got, want := plan.Chain(), (2000+7600+5000)*time.Millisecond; got != want {
		t.Errorf("the chain takes %v, want %v", got, want)
	}
	plan.Learn(1, 3*time.Second)
	if got, want := plan.Remaining(0), (2000+4000+5000)*time.Millisecond; got != want {
		t.Errorf("after tasks of step 1 took 3 s the job takes %v, want %v: by the other branch", got, want)
	}
}

// TestFewTasksTeachNothing guards against a first straggler that makes the estimates of all later jobs worthless.
func TestFewTasksTeachNothing(t *testing.T) {
	var history objective.History
	history.Observe(time.Minute)
	if got := history.Typical(); got != 0 {
		t.Errorf("one task teaches %v", got)
	}
}

// TestStandingWorsensWithTime guards against a job that is counted as lost too early, or keeps its place when it is.
func TestStandingWorsensWithTime(t *testing.T) {
	began := time.Now()
	limits := objective.LimitsOf(route.Objective{Stretch: 1.5, Slack: time.Second}, began, 4*time.Second) // 7 s, of use up to 21 s
	const remaining = 4 * time.Second
	now := began
	for _, want := range []struct {
		standing objective.Standing
		until    time.Duration
	}{{objective.InTime, 3 * time.Second}, {objective.Late, 17 * time.Second}} {
		got, next := limits.Standing(remaining, now)
		if got != want.standing || !next.Equal(began.Add(want.until+1)) {
			t.Fatalf("%v after the start the job is %v until %v, want %v until %v", now.Sub(began), got, next.Sub(began), want.standing, want.until+1)
		}
		if last, _ := limits.Standing(remaining, next.Add(-1)); last != want.standing {
			t.Errorf("the job is %v already %v after the start", last, next.Add(-1).Sub(began))
		}
		now = next
	}
	if got, next := limits.Standing(remaining, now); got != objective.Hopeless || !next.IsZero() {
		t.Errorf("at the end the job is %v until %v, want %v for good", got, next, objective.Hopeless)
	}
}

// TestNoObjectiveIsNeverLate guards against jobs of other queues that fall behind.
func TestNoObjectiveIsNeverLate(t *testing.T) {
	limits := objective.LimitsOf(route.Objective{}, time.Now(), time.Second)
	if got, next := limits.Standing(time.Hour, time.Now().Add(time.Hour)); got != objective.InTime || !next.IsZero() {
		t.Errorf("the job is %v until %v", got, next)
	}
}
