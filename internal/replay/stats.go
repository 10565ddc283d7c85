package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
)

// Quantiles of a distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

// ClassResult is what was measured for the tasks of one class that arrived after the warm-up.
type ClassResult struct {
	Class       string    `json:"class"`
	Tasks       int       `json:"tasks"`
	Started     int       `json:"started"`
	Refused     int       `json:"refused"` // not run
	Canceled    int       `json:"canceled"`
	Expired     int       `json:"expired"` // not started by the deadline
	MetDeadline int       `json:"in_time"` // finished within the deadline
	Goodput     float64   `json:"goodput"` // tasks in time a second of measured time
	WaitMS      Quantiles `json:"wait_ms"` // before the start; a task that did not start waited until the end
	ResponseMS  Quantiles `json:"response_ms"`
	Slowdown    Quantiles `json:"slowdown"` // response by run time
}

// Utilization is the mean share of the cell's capacity while batch work waits.
type Utilization struct {
	Cores     float64 `json:"cores"`
	Memory    float64 `json:"memory"`
	Slots     float64 `json:"slots"`
	Dominant  float64 `json:"dominant"`   // the largest of the three, for each sample
	UsedCores float64 `json:"used_cores"` // in truth; above Cores where sizes are declared too small
	Samples   int     `json:"samples"`
}

// TeamResult is what was measured for one team.
type TeamResult struct {
	Team             string  `json:"team"`
	RequestWaitP99MS float64 `json:"request_wait_p99_ms"`
	DominantShare    float64 `json:"share"` // mean dominant share of the cell
	StartedShare     float64 `json:"started_share"`
}

// Result of a replay.
type Result struct {
	Policy      string        `json:"policy"`
	Classes     []ClassResult `json:"classes"`
	Utilization Utilization   `json:"packing"`
	Teams       []TeamResult  `json:"teams,omitempty"` // only of lists with few teams
	Preempted   int           `json:"moved"`           // attempts ended for other work
}

// maxTeams is the most teams that are reported one by one.
const maxTeams = 4

// unit of the histograms.
const unit = 10 * time.Microsecond

type classStats struct {
	ClassResult
	wait     *hdrhistogram.Histogram
	response *hdrhistogram.Histogram
	slowdown *hdrhistogram.Histogram // hundredths
}

type teamStats struct {
	name    string
	wait    *hdrhistogram.Histogram
	held    resource.Vector
	share   float64
	tasks   int
	started int
}

type stats struct {
	options  Options
	total    resource.Vector
	classes  [work.ClassCount]*classStats
	teams    map[string]*teamStats
	names    []string
	reserved resource.Vector
	used     resource.Vector
	packing  Utilization
	samples  int
	moved    int
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(24*time.Hour/unit), 3) }

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
			s.names = append(s.names, a.Team)
		}
		t.tasks += max(a.GangSize, 1)
	}
	return s
}

func (s *stats) counts(j *job) bool { return j.At >= s.options.WarmUp }

func (s *stats) refused(j *job) {
	if s.counts(j) {
		s.classes[j.Class].Refused += len(j.tasks)
	}
}

func (s *stats) canceled(t *task) {
	if s.counts(t.job) {
		s.classes[t.job.Class].Canceled++
	}
}

func (s *stats) expired(r *run, t *task) {
	if s.counts(t.job) {
		s.classes[t.job.Class].Expired++
		s.waited(t, r.now-t.job.At)
	}
}

func (s *stats) started(r *run, t *task) {
	team := s.teams[t.job.Team]
	team.started++
	if !s.counts(t.job) {
		return
	}
	c := s.classes[t.job.Class]
	c.Started++
	s.waited(t, r.now-t.job.At)
}

func (s *stats) waited(t *task, wait time.Duration) {
	_ = s.classes[t.job.Class].wait.RecordValue(int64(wait / unit)) // below the largest value of the histogram
	if t.job.Class == work.Request {
		_ = s.teams[t.job.Team].wait.RecordValue(int64(wait / unit))
	}
}

func (s *stats) finished(r *run, t *task) {
	if !s.counts(t.job) {
		return
	}
	c := s.classes[t.job.Class]
	response := r.now - t.job.At
	_ = c.response.RecordValue(int64(response / unit))
	_ = c.slowdown.RecordValue(int64(100 * response / t.job.RunTime))
	if t.job.Deadline == 0 || t.job.Class != work.Request || response <= t.job.Deadline {
		c.MetDeadline++
	}
}

// holds notes that a task holds (1) or no longer holds (-1) its size.
func (s *stats) holds(t *task, sign int64) {
	s.reserved = s.reserved.Add(t.spec.Size.Scale(sign))
	s.used = s.used.Add(t.job.ActualUsage.Scale(sign))
	team := s.teams[t.job.Team]
	team.held = team.held.Add(t.spec.Size.Scale(sign))
}

func (s *stats) sample(r *run) {
	if r.now < s.options.WarmUp {
		return
	}
	s.samples++
	if len(s.names) <= maxTeams {
		for _, team := range s.teams {
			team.share += team.held.DominantShare(s.total)
		}
	}
	if !r.backlog() {
		return
	}
	cores := float64(s.reserved.MilliCores) / float64(s.total.MilliCores)
	memory := float64(s.reserved.MemoryBytes) / float64(s.total.MemoryBytes)
	slots := float64(s.reserved.Slots) / float64(s.total.Slots)
	s.packing.Cores += cores
	s.packing.Memory += memory
	s.packing.Slots += slots
	s.packing.Dominant += max(cores, memory, slots)
	s.packing.UsedCores += float64(s.used.MilliCores) / float64(s.total.MilliCores)
	s.packing.Samples++
}

// backlog reports whether batch work waits at every owner.
func (r *run) backlog() bool {
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
	s.censor(r)
	out := Result{Policy: r.Policy.Name, Utilization: s.packing, Preempted: s.moved}
	seconds := (s.options.Duration - s.options.WarmUp).Seconds()
	const milliseconds = float64(unit) / float64(time.Millisecond)
	for _, c := range s.classes {
		c.Goodput = float64(c.MetDeadline) / seconds
		c.WaitMS = quantiles(c.wait, milliseconds)
		c.ResponseMS = quantiles(c.response, milliseconds)
		c.Slowdown = quantiles(c.slowdown, 0.01)
		out.Classes = append(out.Classes, c.ClassResult)
	}
	if n := float64(s.packing.Samples); n > 0 {
		p := &out.Utilization
		p.Cores, p.Memory, p.Slots, p.Dominant, p.UsedCores = p.Cores/n, p.Memory/n, p.Slots/n, p.Dominant/n, p.UsedCores/n
	}
	if len(s.names) <= maxTeams {
		for _, name := range s.names {
			t := s.teams[name]
			out.Teams = append(out.Teams, TeamResult{
				Team: name, RequestWaitP99MS: float64(t.wait.ValueAtQuantile(99)) * milliseconds,
				DominantShare: t.share / float64(max(s.samples, 1)), StartedShare: float64(t.started) / float64(max(t.tasks, 1)),
			})
		}
	}
	return out
}

// censor counts the tasks that did not start: they waited at least until the end.
func (s *stats) censor(r *run) {
	for _, t := range r.tasks {
		if !s.counts(t.job) || t.job.At > s.options.Duration {
			continue
		}
		s.classes[t.job.Class].Tasks++
		if t.starts == 0 && !t.job.over {
			s.waited(t, r.now-t.job.At)
		}
	}
}
