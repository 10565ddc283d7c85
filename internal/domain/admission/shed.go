package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkstall/internal/domain/workflow"
)

// Parameters of shedding.
const (
	// rateObservations is the number of latest observations over which the rate of starts is measured: 1 s.
	rateObservations = 4
	// askedSpan is the time constant of the rate of submitted tasks. Jobs differ in their number of tasks.
	askedSpan = 2 * time.Second
	// adoptionSpan is the time constant with which processes adopt a statement: they learn of it with their next ping.
	adoptionSpan = 500 * time.Millisecond
	// strainObservations is for how many observations in a row waits must exceed what is tolerable before jobs are refused: a pause of the
	// leader is not an overload.
	strainObservations = 4
	// targetStrain is the part of the tolerable waits that is used while jobs are refused. Later steps of the jobs wait too.
	targetStrain = 0.5
	// maxCatchUp bounds the tasks that are taken in per start while the waits are short.
	maxCatchUp = 1.5
	// minAdmitted is the part of the jobs that is taken in at least, so that the rate of submissions is still seen.
	minAdmitted = 0.1
	// shedReturnSpan spreads the returns of callers after the expected wait.
	shedReturnSpan = 4 * time.Second
)

// StartBacklog is what waits until the leader starts it, at one priority.
type StartBacklog struct {
	Priority int
	Tasks    int           // that the leader has not got round to
	MaxWait  time.Duration // for which tasks of the priority may wait while their jobs remain in time; 0: any time
}

// Intake counts tasks of jobs that were taken in.
type Intake struct {
	Sheddable map[int]int // tasks of jobs that may be refused, by priority
	Other     int
}

// Shedding is how the new jobs of a priority are treated. The zero value takes in all.
type Shedding struct {
	Refused float64       // part of the jobs that is refused
	Wait    time.Duration // expected until the leader starts a new task of the priority
}

// Shedder decides which part of the new jobs is refused while the leader starts fewer tasks than are submitted, although workers are free:
// whatever is taken in beyond its rate makes all jobs late, and the lowest priority starves. All priorities give up the same part, except
// that one whose tasks can still wait gives up nothing for a higher one. It is not safe for concurrent use. The zero value is ready to use.
type Shedder struct {
	observed time.Time // zero before the first observation
	recent   []startSample
	capacity float64 // starts per second that the leader is able to send
	other    float64 // tasks per second of jobs that cannot be refused
	levels   map[int]*shedLevel
	strained int // observations in a row with waits that are too long
	shedding bool
}

type startSample struct {
	span   time.Duration
	starts int
}

// shedLevel is the state of one priority.
type shedLevel struct {
	asked    float64 // tasks per second of submitted jobs that may be refused
	admitted float64 // part of them that is taken in by the latest decision
	adopted  float64 // the same as far as processes have heard of it
	wait     time.Duration
}

// Observe updates the state with what the leader has started and taken in since the last observation, and with what waits for it. Behind states that
// the leader leaves out tasks that could start. It reports whether shedding has begun or ended.
func (s *Shedder) Observe(now time.Time, starts int, intake Intake, backlogs []StartBacklog, behind bool) (changed bool) {
	span := now.Sub(s.observed)
	first := s.observed.IsZero()
	s.observed = now
	if first || span <= 0 {
		return false
	}
	s.measure(span, starts, intake, behind)
	strains := s.judge(backlogs)
	was := s.shedding
	s.decide(strains, behind)
	for _, level := range s.levels {
		level.adopted += (level.admitted - level.adopted) * weight(span, adoptionSpan)
	}
	return was != s.shedding
}

// weight returns the weight of an observation over a span in an average with the time constant.
func weight(span, constant time.Duration) float64 {
	return 1 - math.Exp(-span.Seconds()/constant.Seconds())
}

// measure updates the rates.
func (s *Shedder) measure(span time.Duration, starts int, intake Intake, behind bool) {
	s.recent = append(s.recent, startSample{span, starts})
	if len(s.recent) > rateObservations {
		s.recent = s.recent[1:]
	}
	var total startSample
	for _, sample := range s.recent {
		total.span, total.starts = total.span+sample.span, total.starts+sample.starts
	}
	rate := float64(total.starts) / total.span.Seconds()
	if !behind {
		rate = max(rate, s.capacity) // it could start more
	}
	s.capacity = rate
	s.other += (float64(intake.Other)/span.Seconds() - s.other) * weight(span, askedSpan)
	for priority := range intake.Sheddable {
		s.level(priority)
	}
	for priority, level := range s.levels {
		asked := float64(intake.Sheddable[priority]) / span.Seconds() / level.adopted
		level.asked += (asked - level.asked) * weight(span, askedSpan)
	}
}

func (s *Shedder) level(priority int) *shedLevel {
	if s.levels == nil {
		s.levels = map[int]*shedLevel{}
	}
	if s.levels[priority] == nil {
		s.levels[priority] = &shedLevel{admitted: 1, adopted: 1}
	}
	return s.levels[priority]
}

// judge returns the strain of each priority: its expected wait as a multiple of the tolerable one, or that of a lower priority, which
// waits for what is taken in at a higher one.
func (s *Shedder) judge(backlogs []StartBacklog) map[int]float64 {
	backlogs = slices.Clone(backlogs)
	slices.SortFunc(backlogs, func(a, b StartBacklog) int { return cmp.Compare(a.Priority, b.Priority) })
	var wait, higher float64 // of the tasks ahead, in seconds, and tasks per second that are taken in ahead of them
	asked := s.asked()
	for _, b := range backlogs {
		level := s.level(b.Priority)
		// What is left by higher priorities, and at least the part that all priorities give up for it.
		left := max(s.capacity-higher, s.capacity*level.asked/max(asked, 1), 1)
		wait += float64(b.Tasks) / left
		level.wait = time.Duration(wait * float64(time.Second))
		higher += level.asked * level.adopted
	}
	strains, lower := map[int]float64{}, 0.0
	for _, b := range slices.Backward(backlogs) {
		if b.MaxWait > 0 {
			lower = max(lower, s.levels[b.Priority].wait.Seconds()/b.MaxWait.Seconds())
		}
		strains[b.Priority] = lower
	}
	return strains
}

// decide sets which part of the jobs of each priority is taken in.
func (s *Shedder) decide(strains map[int]float64, behind bool) {
	highest := 0.0
	for _, strain := range strains {
		highest = max(highest, strain)
	}
	if behind && highest > 1 {
		s.strained++
	} else {
		s.strained = 0
	}
	s.shedding = s.shedding || s.strained >= strainObservations
	asked, full := s.asked(), true
	for priority, level := range s.levels {
		level.admitted = 1
		if s.shedding && asked > 0 {
			rate := s.capacity*min(max(1+targetStrain-strains[priority], 0), maxCatchUp) - s.other
			level.admitted = min(max(rate/asked, minAdmitted), 1)
		}
		full = full && level.admitted == 1
	}
	s.shedding = s.shedding && (!full || highest > targetStrain)
}

// Shedding returns how new jobs of a priority are treated.
func (s *Shedder) Shedding(priority int) Shedding {
	level := s.levels[priority]
	if level == nil {
		return Shedding{}
	}
	return Shedding{Refused: 1 - level.admitted, Wait: level.wait}
}

// Active reports whether jobs may be refused.
func (s *Shedder) Active() bool { return s.shedding }

// Rates returns the starts per second that the leader is able to send, and the tasks per second that are submitted.
func (s *Shedder) Rates() (starts, asked float64) {
	return s.capacity, s.other + s.asked()
}

// asked returns the tasks per second of submitted jobs that may be refused.
func (s *Shedder) asked() float64 {
	sum := 0.0
	for _, level := range s.levels {
		sum += level.asked
	}
	return sum
}

// Refuses decides on a job, and returns when its caller should return if it is refused. The verdict on an id stays the same until the refused
// part changes, so that a caller gains nothing by asking again, and those who were refused first are not displaced by their own returns.
func (s Shedding) Refuses(job workflow.ID) (retryAfter time.Duration, refused bool) {
	place := float64(xxhash.Sum64String(string(job))>>11) / (1 << 53) // in [0, 1)
	if admitted := 1 - s.Refused; place >= admitted {
		spread := (place - admitted) / s.Refused * float64(shedReturnSpan) // the next to be taken in return first
		return min(max(s.Wait, minReturn)+time.Duration(spread), maxReturn), true
	}
	return 0, false
}
