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
	// targetStrain is the part of the tolerable waits that is used while jobs are refused. Each of up to four steps of a job waits that long.
	targetStrain = 0.25
	// maxPassedStrain bounds how much of the strain of a priority is that of a lower one: it gives up its part for it, and not more.
	maxPassedStrain = 0.5
	// targetUse is the part of the starts for which tasks are taken in at the target strain. The rest is for runs that are repeated, and
	// keeps the queue short: a long one makes starts dearer, and permits expire before they are used.
	targetUse = 0.85
	// strainGain is how many fewer tasks are taken in for each start for each multiple of the tolerable wait beyond the target: the backlog
	// of a burst is worked off within a few times that wait, and few tasks more than are started are taken in while nothing waits.
	strainGain = 0.4
	// minIntake is the number of tasks that are taken in for each start at least.
	minIntake = 0.3
	// minLeft is the part of the starts that a priority is taken to get however few of its tasks are submitted.
	minLeft = 0.1
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

// Intake counts tasks of jobs of a priority that were taken in.
type Intake struct {
	Sheddable int // of jobs that may be refused
	Other     int
}

// Shedding is how the new jobs of a priority are treated. The zero value takes in all.
type Shedding struct {
	Refused float64       // part of the jobs that is refused
	Wait    time.Duration // expected until the leader starts a new task of the priority
}

// Shedder decides which part of the new jobs is refused while the leader starts fewer tasks than are submitted, although workers are free:
// whatever is taken in beyond its rate makes all jobs late, and the lowest priority starves. All priorities give up about the same part: more
// if their own tasks wait too long, and less if they can still wait. It is not safe for concurrent use. The zero value is ready to use.
type Shedder struct {
	observed time.Time // zero before the first observation
	recent   []startSample
	capacity float64 // starts per second that the leader is able to send, as far as it had to
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
	asked    float64       // tasks per second of submitted jobs that may be refused
	other    float64       // tasks per second of jobs that may not
	admitted float64       // part of the asked tasks that is taken in by the latest decision
	adopted  float64       // part of them that is taken in as far as processes have heard of it
	wait     time.Duration // expected until the leader starts a new task
}

// Observe updates the state with what the leader has started and taken in since the last observation, and with what waits for it. Behind states that
// the leader leaves out tasks that could start. It reports whether shedding has begun or ended.
func (s *Shedder) Observe(now time.Time, starts int, intake map[int]Intake, backlogs []StartBacklog, behind bool) (changed bool) {
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
func (s *Shedder) measure(span time.Duration, starts int, intake map[int]Intake, behind bool) {
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
	for priority := range intake {
		s.level(priority)
	}
	for priority, level := range s.levels {
		asked := float64(intake[priority].Sheddable) / span.Seconds() / level.adopted
		other := float64(intake[priority].Other) / span.Seconds()
		level.asked += (asked - level.asked) * weight(span, askedSpan)
		level.other += (other - level.other) * weight(span, askedSpan)
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

// judge returns the strain of each priority: its expected wait as a multiple of the tolerable one, or within bounds that of a lower
// priority, which waits for what is taken in at a higher one.
func (s *Shedder) judge(backlogs []StartBacklog) map[int]float64 {
	backlogs = slices.Clone(backlogs)
	slices.SortFunc(backlogs, func(a, b StartBacklog) int { return cmp.Compare(a.Priority, b.Priority) })
	var wait, higher float64 // of the tasks ahead, in seconds, and tasks per second that are taken in ahead of them
	asked, other := s.asked()
	for _, b := range backlogs {
		level := s.level(b.Priority)
		// What is left by higher priorities, and at least the part that all priorities give up for it.
		part := max((level.asked+level.other)/max(asked+other, 1), minLeft)
		wait += float64(b.Tasks) / max(s.capacity-higher, s.capacity*part, 1)
		level.wait = time.Duration(wait * float64(time.Second))
		higher += level.asked*level.adopted + level.other
	}
	strains, lower := map[int]float64{}, 0.0
	for _, b := range slices.Backward(backlogs) {
		strain := min(lower, maxPassedStrain)
		if b.MaxWait > 0 {
			strain = max(strain, s.levels[b.Priority].wait.Seconds()/b.MaxWait.Seconds())
		}
		strains[b.Priority], lower = strain, max(lower, strain)
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
	asked, other := s.asked()
	full := true
	for priority, level := range s.levels {
		level.admitted = 1
		if s.shedding && asked > 0 {
			rate := s.capacity*max(targetUse+strainGain*(targetStrain-strains[priority]), minIntake) - other
			level.admitted = min(max(rate/asked, minAdmitted), 1)
		}
		full = full && level.admitted == 1
	}
	s.shedding = s.shedding && (behind || !full || highest > targetStrain)
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
	asked, other := s.asked()
	return s.capacity, asked + other
}

// asked returns the tasks per second of submitted jobs that may be refused, and of others.
func (s *Shedder) asked() (asked, other float64) {
	for _, level := range s.levels {
		asked, other = asked+level.asked, other+level.other
	}
	return asked, other
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
