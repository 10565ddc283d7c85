package fleet

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

const (
	// maxSamples is the number of run times kept of each kind. 32 samples follow a change of the run times within as
	// many tasks, and take 8 MB for 350 teams with 64 kinds each.
	maxSamples = 32
	// minSamples is the number of run times needed for an estimate. Declared run times are less accurate than three
	// samples.
	minSamples = 3
)

// defaultRunTime is assumed, by class, for tasks whose run time is neither declared nor learned.
var defaultRunTime = [work.ClassCount]time.Duration{time.Second, 10 * time.Minute, 10 * time.Minute, 24 * time.Hour}

type kindKey struct {
	team ident.TeamID
	kind string
}

// runTimeEstimator estimates the run times of each team's kinds of task from the last outcomes.
type runTimeEstimator struct {
	kinds map[kindKey]*kindRunTimes
}

type kindRunTimes struct {
	recent [maxSamples]time.Duration
	count  int
	median time.Duration
	p90    time.Duration // 90th percentile
}

func (t *runTimeEstimator) observe(spec work.Spec, run time.Duration) {
	key := kindKey{spec.ID.Work.Team, spec.Kind}
	s, ok := t.kinds[key]
	if !ok {
		s = &kindRunTimes{}
		t.kinds[key] = s
	}
	s.recent[s.count%maxSamples] = run
	s.count++
	n := min(s.count, maxSamples)
	sorted := slices.Clone(s.recent[:n])
	slices.Sort(sorted)
	s.median, s.p90 = sorted[n/2], sorted[n*9/10]
}

// estimate returns the expected run time of the task and its 90th percentile. Without enough samples these are the
// declared run time and twice as much.
func (t *runTimeEstimator) estimate(spec work.Spec) (expected, p90 time.Duration) {
	if s, ok := t.kinds[kindKey{spec.ID.Work.Team, spec.Kind}]; ok && s.count >= minSamples {
		return s.median, s.p90
	}
	declared := spec.Expected
	if declared == 0 {
		declared = defaultRunTime[spec.Class]
	}
	return declared, 2 * declared
}
