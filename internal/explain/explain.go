// Package explain tells from the log lines of all processes what became of one job.
package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// line is one line of a log.
type line struct {
	at     time.Time
	text   string
	fields map[string]string
}

func (l line) get(key string) string { return l.fields[key] }

// History is what the logs tell of one job.
type History struct {
	job     string
	own     []line // about the job
	context []line // what the processes lost, regained and decided for themselves
}

// New returns the story of a job of which nothing was read.
func New(job string) *History { return &History{job: job} }

// Job returns the id of the job.
func (s *History) Job() string { return s.job }

// surroundings are the events that may be the cause of what happens to jobs.
var surroundings = []string{
	"process started", "process drains", "leadership taken", "leadership ended", "term lost", "store lost",
	"store regained", "store read", "runs of earlier terms accounted for", "configuration in force",
}

// Add takes a line of a log in any order. Text before the time is left out; a line without one is ignored.
func (s *History) Add(text string) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return
	}
	l, ok := parse(text[start:])
	if !ok {
		return
	}
	switch {
	case s.isOwn(l):
		s.own = append(s.own, l)
	case slices.Contains(surroundings, l.get("msg")):
		s.context = append(s.context, l)
	}
}

func (s *History) isOwn(l line) bool {
	if l.get("job") == s.job {
		return true
	}
	for _, key := range []string{"task", "step"} {
		if job, _, _ := strings.Cut(l.get(key), "."); job == s.job {
			return true
		}
	}
	return false
}

// parse reads a line of the form key=value key="quoted value".
func parse(text string) (line, bool) {
	l := line{text: text, fields: map[string]string{}}
	for rest := text; rest != ""; {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		value, left := cutValue(after)
		l.fields[strings.TrimSpace(key)] = value
		rest = left
	}
	at, err := time.Parse(time.RFC3339Nano, l.get("time"))
	l.at = at
	return l, err == nil
}

func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(text[1:i], `\"`, `"`), strings.TrimPrefix(text[i+1:], " ")
		}
	}
	return text[1:], ""
}

// Lines returns the lines about the job in the order of their times, and between them what processes lost and regained.
func (s *History) Lines() []string {
	if len(s.own) == 0 {
		return nil
	}
	s.sort()
	first, last := s.own[0].at, s.own[len(s.own)-1].at
	all := slices.Clone(s.own)
	for _, l := range s.context {
		if !l.at.Before(first) && !l.at.After(last) {
			all = append(all, l)
		}
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	texts := make([]string, len(all))
	for i, l := range all {
		texts[i] = fmt.Sprintf("%8.3f s  %s", l.at.Sub(first).Seconds(), l.text)
	}
	return texts
}

func (s *History) sort() {
	slices.SortStableFunc(s.own, func(a, b line) int { return a.at.Compare(b.at) })
}

// Cause returns the cause of what became of the job, in one sentence.
func (s *History) Cause() string {
	s.sort()
	switch {
	case s.find("job over", "state", "failed") != nil:
		return s.failed()
	case s.find("job over", "state", "cancelled") != nil:
		return "its caller cancelled it."
	case s.find("job submitted", "kind", "accepted") == nil && s.find("job taken in", "", "") == nil:
		return s.refused()
	default:
		return s.longest()
	}
}

func (s *History) find(msg, key, value string) *line {
	for i := range s.own {
		if l := &s.own[i]; l.get("msg") == msg && (key == "" || l.get(key) == value) {
			return l
		}
	}
	return nil
}

func (s *History) failed() string {
	failures := map[string]int{}
	for _, l := range s.own {
		if l.get("msg") == "run ended" && l.get("how") == "failed" {
			failures[l.get("task")]++
		}
	}
	worst := ""
	for task, n := range failures {
		if worst == "" || n > failures[worst] || n == failures[worst] && task < worst {
			worst = task
		}
	}
	return fmt.Sprintf("task %s failed %d times, which is the bound of its queue.", worst, failures[worst])
}

func (s *History) refused() string {
	l := s.find("job submitted", "", "")
	if l == nil {
		return "no process has logged that it was handed in."
	}
	return fmt.Sprintf("process %s did not accept it (%s): %s.", l.get("process"), l.get("kind"), l.get("error"))
}

// longest names the longest time in which nothing about the job was logged, and what happened in it, or the runs that had
// to be repeated.
func (s *History) longest() string {
	repeated := 0
	for _, l := range s.own {
		if l.get("msg") == "run ended" && l.get("how") != "done" {
			repeated++
		}
	}
	from, to := 0, 0
	for i := 1; i < len(s.own); i++ {
		if s.own[i].at.Sub(s.own[i-1].at) > s.own[to].at.Sub(s.own[from].at) {
			from, to = i-1, i
		}
	}
	a, b := s.own[from], s.own[to]
	sentence := fmt.Sprintf("the longest wait was %.3f s between %q and %q", b.at.Sub(a.at).Seconds(), a.get("msg"), b.get("msg"))
	if meanwhile := s.between(a.at, b.at); len(meanwhile) > 0 {
		sentence += "; meanwhile: " + strings.Join(meanwhile, ", ")
	}
	if repeated > 0 {
		sentence += fmt.Sprintf("; %d runs ended without being done", repeated)
	}
	return sentence + "."
}

// between returns the events of processes in a time, each once.
func (s *History) between(from, to time.Time) []string {
	var names []string
	for _, l := range s.context {
		name := l.get("msg") + " (" + l.get("process") + ")"
		if !l.at.Before(from) && !l.at.After(to) && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
