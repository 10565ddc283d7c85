package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Quantiles are quantiles of a distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

// ClassResult contains the measurements of the tasks of one class that arrived after the warm-up.
type ClassResult struct {
	Class       string    `json:"class"`
	Tasks       int       `json:"tasks"`
	Started     int       `json:"started"`
	Refused     int       `json:"refused"` // rejected without being run
	Canceled    int       `json:"canceled"`
	Expired     int       `json:"expired"` // not started by the deadline
	MetDeadline int       `json:"in_time"` // finished; requests only if within their deadline
	Goodput     float64   `json:"goodput"` // MetDeadline per second of measured time
	WaitMS      Quantiles `json:"wait_ms"` // time until the start; without a start, until the deadline or the end of the replay
	ResponseMS  Quantiles `json:"response_ms"`
	Slowdown    Quantiles `json:"slowdown"` // response time divided by run time
}

// Utilization is the mean utilization of the cell's capacity while batch work is queued at every owner.
type Utilization struct {
	Cores     float64 `json:"cores"`
	Memory    float64 `json:"memory"`
	Slots     float64 `json:"slots"`
	Dominant  float64 `json:"dominant"`   // mean of the largest of the three in each sample
	UsedCores float64 `json:"used_cores"` // cores really used; above Cores where declared sizes are too small
	Samples   int     `json:"samples"`
}

// TeamResult contains the measurements of one team.
type TeamResult struct {
	Team             string  `json:"team"`
	RequestWaitP99MS float64 `json:"request_wait_p99_ms"`
	DominantShare    float64 `json:"share"`         // mean dominant share of the cell
	StartedShare     float64 `json:"started_share"` // share of the team's tasks that started
}

// Result contains the measurements of a replay.
type Result struct {
	Policy      string        `json:"policy"`
	Classes     []ClassResult `json:"classes"`
	Utilization Utilization   `json:"packing"`
	Teams       []TeamResult  `json:"teams,omitempty"` // only if there are at most maxReportedTeams teams
	Preempted   int           `json:"moved"`           // number of preempted attempts
}

// maxReportedTeams is the largest number of teams for which results are reported by team.
const maxReportedTeams = 4

// histogramUnit is the unit of the values in the histograms.
const histogramUnit = 10 * time.Microsecond

type classStats struct {
	ClassResult
	wait     *hdrhistogram.Histogram
	response *hdrhistogram.Histogram
	slowdown *hdrhistogram.Histogram // in hundredths
}

type teamStats struct {
	name          string
	wait          *hdrhistogram.Histogram
	allocated     resource.Vector
	dominantShare float64
	tasks         int
	started       int
}

type stats struct {
	options     Options
	total       resource.Vector
	classes     [work.ClassCount]*classStats
	teams       map[string]*teamStats
	teamNames   []string
	reserved    resource.Vector
	used        resource.Vector
	utilization Utilization
	samples     int
	preempted   int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(24*time.Hour/histogramUnit), 3)
}

func newStats(options Options, arrivals []Arrival) *stats {
	s := &stats{options: options, total: options.Shape.total(), teams: map[string]*teamStats{}}
	for i := range s.classes {
		s.classes[i] = &classStats{wait: newHistogram(), response: newHistogram(), slowdown: newHistogram()}
		s.classes[i].Class = work.Class(i).String()
	}
	for i := range arrivals {
		a := &arrivals[i]
		t, ok := s.teams[a.Team]
		if !ok {
			t = &teamStats{name: a.Team, wait: newHistogram()}
			s.teams[a.Team] = t
			s.teamNames = append(s.teamNames, a.Team)
		}
		t.tasks += max(a.GangSize, 1)
	}
	return s
}

func (s *stats) isMeasured(j *job) bool { return j.At >= s.options.WarmUp }

func (s *stats) recordRejection(j *job) {
	if s.isMeasured(j) {
		s.classes[j.Class].Refused += len(j.tasks)
	}
}

func (s *stats) recordCancellation(t *task) {
	if s.isMeasured(t.job) {
		s.classes[t.job.Class].Canceled++
	}
}

func (s *stats) recordExpiry(r *run, t *task) {
	if s.isMeasured(t.job) {
		s.classes[t.job.Class].Expired++
		s.recordWait(t, r.now-t.job.At)
	}
}

func (s *stats) recordStart(r *run, t *task) {
	team := s.teams[t.job.Team]
	team.started++
	if !s.isMeasured(t.job) {
		return
	}
	c := s.classes[t.job.Class]
	c.Started++
	s.recordWait(t, r.now-t.job.At)
}

func (s *stats) recordWait(t *task, wait time.Duration) {
	_ = s.classes[t.job.Class].wait.RecordValue(int64(wait / histogramUnit)) // cannot fail: below the maximum of the histogram
	if t.job.Class == work.Request {
		_ = s.teams[t.job.Team].wait.RecordValue(int64(wait / histogramUnit))
	}
}

func (s *stats) recordFinish(r *run, t *task) {
	if !s.isMeasured(t.job) {
		return
	}
	c := s.classes[t.job.Class]
	response := r.now - t.job.At
	_ = c.response.RecordValue(int64(response / histogramUnit))
	_ = c.slowdown.RecordValue(int64(100 * response / t.job.RunTime))
	if t.job.Deadline == 0 || t.job.Class != work.Request || response <= t.job.Deadline {
		c.MetDeadline++
	}
}

// addReservation adds (sign 1) or removes (sign -1) the resources of a running task.
func (s *stats) addReservation(t *task, sign int64) {
	s.reserved = s.reserved.Add(t.spec.Size.Scale(sign))
	s.used = s.used.Add(t.job.ActualUsage.Scale(sign))
	team := s.teams[t.job.Team]
	team.allocated = team.allocated.Add(t.spec.Size.Scale(sign))
}

func (s *stats) sample(r *run) {
	if r.now < s.options.WarmUp {
		return
	}
	s.samples++
	if len(s.teamNames) <= maxReportedTeams {
		for _, team := range s.teams {
			team.dominantShare += team.allocated.DominantShare(s.total)
		}
	}
	if !r.hasBatchBacklog() {
		return
	}
	cores := float64(s.reserved.MilliCores) / float64(s.total.MilliCores)
	memory := float64(s.reserved.MemoryBytes) / float64(s.total.MemoryBytes)
	slots := float64(s.reserved.Slots) / float64(s.total.Slots)
	s.utilization.Cores += cores
	s.utilization.Memory += memory
	s.utilization.Slots += slots
	s.utilization.Dominant += max(cores, memory, slots)
	s.utilization.UsedCores += float64(s.used.MilliCores) / float64(s.total.MilliCores)
	s.utilization.Samples++
}

// hasBatchBacklog reports whether batch work is queued at every owner.
func (r *run) hasBatchBacklog() bool {
	for _, o := range r.owners {
		if o.fleet.Digest(r.clock()).Queued[work.Batch] == 0 {
			return false
		}
	}
	return true
}

func quantiles(h *hdrhistogram.Histogram, scale float64) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) * scale }
	return Quantiles{at(50), at(99), at(99.9)}
}

func (s *stats) result(r *run) Result {
	s.recordUnstarted(r)
	out := Result{Policy: r.Policy.Name, Utilization: s.utilization, Preempted: s.preempted}
	seconds := (s.options.Duration - s.options.WarmUp).Seconds()
	const milliseconds = float64(histogramUnit) / float64(time.Millisecond)
	for _, c := range s.classes {
		c.Goodput = float64(c.MetDeadline) / seconds
		c.WaitMS = quantiles(c.wait, milliseconds)
		c.ResponseMS = quantiles(c.response, milliseconds)
		c.Slowdown = quantiles(c.slowdown, 0.01)
		out.Classes = append(out.Classes, c.ClassResult)
	}
	if n := float64(s.utilization.Samples); n > 0 {
		p := &out.Utilization
		p.Cores, p.Memory, p.Slots, p.Dominant, p.UsedCores = p.Cores/n, p.Memory/n, p.Slots/n, p.Dominant/n, p.UsedCores/n
	}
	if len(s.teamNames) <= maxReportedTeams {
		for _, name := range s.teamNames {
			t := s.teams[name]
			out.Teams = append(out.Teams, TeamResult{
				Team: name, RequestWaitP99MS: float64(t.wait.ValueAtQuantile(99)) * milliseconds,
				DominantShare: t.dominantShare / float64(max(s.samples, 1)), StartedShare: float64(t.started) / float64(max(t.tasks, 1)),
			})
		}
	}
	return out
}

// recordUnstarted counts all measured tasks and records the waits of those that did not start, which waited at least
// until the end.
func (s *stats) recordUnstarted(r *run) {
	for _, t := range r.tasks {
		if !s.isMeasured(t.job) || t.job.At > s.options.Duration {
			continue
		}
		s.classes[t.job.Class].Tasks++
		if t.starts == 0 && !t.job.done {
			s.recordWait(t, r.now-t.job.At)
		}
	}
}
