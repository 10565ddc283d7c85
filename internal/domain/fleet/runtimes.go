package fleet

import (
	"slices"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/work"
)

const (
	// runTimeSamples is how many run times of a kind are kept. 32 follow a change of the kind within as many tasks, and
	// bound 350 teams of 64 kinds to 8 MB.
	runTimeSamples = 32
	// leastSamples is how many run times make an estimate. Declared run times are off by more than three samples are.
	leastSamples = 3
)

// defaultRunTime is assumed for a kind with neither a declared nor a learned run time.
var defaultRunTime = [work.ClassCount]time.Duration{time.Second, 10 * time.Minute, 10 * time.Minute, 24 * time.Hour}

type kindKey struct {
	team ident.TeamID
	kind string
}

// runTimes learns the run times of each team's kinds from the last outcomes.
type runTimes struct {
	kinds map[kindKey]*runTimeSample
}

type runTimeSample struct {
	last   [runTimeSamples]time.Duration
	count  int
	median time.Duration
	high   time.Duration // nine of ten are shorter
}

func (t *runTimes) observe(spec work.Spec, run time.Duration) {
	key := kindKey{spec.ID.Work.Team, spec.Kind}
	s, ok := t.kinds[key]
	if !ok {
		s = &runTimeSample{}
		t.kinds[key] = s
	}
	s.last[s.count%runTimeSamples] = run
	s.count++
	n := min(s.count, runTimeSamples)
	sorted := slices.Clone(s.last[:n])
	slices.Sort(sorted)
	s.median, s.high = sorted[n/2], sorted[n*9/10]
}

// estimate returns the usual run time of the task's kind, and one that nine of ten do not exceed.
func (t *runTimes) estimate(spec work.Spec) (usual, high time.Duration) {
	if s, ok := t.kinds[kindKey{spec.ID.Work.Team, spec.Kind}]; ok && s.count >= leastSamples {
		return s.median, s.high
	}
	declared := spec.Expected
	if declared == 0 {
		declared = defaultRunTime[spec.Class]
	}
	return declared, 2 * declared
}
