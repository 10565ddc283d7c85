package placement_test

import (
	"cmp"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/objective"
	"skylarkstall/internal/domain/placement"
	"skylarkstall/internal/domain/workflow"
)

// orderWithoutRanks is the order of steps before there were objectives and shares.
func orderWithoutRanks(p, other *placement.Position) int {
	if p.Overdue != other.Overdue {
		if p.Overdue {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(p.Priority, other.Priority), p.Accepted.Compare(other.Accepted), cmp.Compare(p.Ref.Job, other.Ref.Job),
		cmp.Compare(p.Ref.Occurrence, other.Ref.Occurrence), cmp.Compare(p.Ref.Step, other.Ref.Step))
}

func drawPosition(t *rapid.T, began time.Time) placement.Position {
	return placement.Position{
		Ref: workflow.StepRef{
			Job: workflow.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")), Occurrence: rapid.IntRange(0, 1).Draw(t, "occurrence"),
			Step: rapid.IntRange(0, 1).Draw(t, "step"),
		},
		Overdue: rapid.Bool().Draw(t, "overdue"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Accepted: began.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "age"))),
	}
}

// TestOrderWithoutLateJobsIsFormer guards against a change for cells without objectives and shares.
func TestOrderWithoutLateJobsIsFormer(t *testing.T) {
	began := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		a, b := drawPosition(rt, began), drawPosition(rt, began)
		waited := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "waited"))
		a.Rank = placement.RankOf(objective.InTime, false, waited)
		if got, want := a.Compare(&b), orderWithoutRanks(&a, &b); got != want {
			rt.Fatalf("%+v before %+v: %d, want %d", a, b, got, want)
		}
	})
}

// TestRankStaysWithinPriority guards against a job in time of a low priority that goes before a late one of a high priority, and before
// a long-running step that is overdue.
func TestRankStaysWithinPriority(t *testing.T) {
	began := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		a, b := drawPosition(rt, began), drawPosition(rt, began)
		a.Rank = placement.RankOf(objective.Standing(rapid.IntRange(0, 2).Draw(rt, "standing")), rapid.Bool().Draw(rt, "excess"), 0)
		if got, want := a.Compare(&b), orderWithoutRanks(&a, &b); (a.Overdue != b.Overdue || a.Priority != b.Priority) && got != want {
			rt.Fatalf("%+v before %+v: %d, want %d", a, b, got, want)
		}
	})
}

// TestRanks guards against excess that goes before what is within shares, and against work that starves.
func TestRanks(t *testing.T) {
	inOrder := []placement.Rank{
		placement.RankOf(objective.InTime, false, 0), placement.RankOf(objective.Late, false, 0),
		placement.RankOf(objective.Hopeless, false, 0), placement.RankOf(objective.InTime, true, 0),
		placement.RankOf(objective.Late, true, 0), placement.RankOf(objective.Hopeless, true, 0),
	}
	for i, rank := range inOrder {
		if i > 0 && rank <= inOrder[i-1] {
			t.Errorf("rank %d does not follow the one before", i)
		}
		if rank.IsBehind() != (i > 0) || rank.BehindForExcess() != (i >= 3) {
			t.Errorf("rank %d: behind %v, for excess %v", i, rank.IsBehind(), rank.BehindForExcess())
		}
	}
	if placement.RankOf(objective.Hopeless, true, placement.MaxBehind) != inOrder[0] {
		t.Error("a step that has waited for MaxBehind is still behind")
	}
}
