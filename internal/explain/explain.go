// Package explain reconstructs the history of one job from the logs of all processes.
package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// line is a parsed log line.
type line struct {
	at     time.Time
	text   string
	fields map[string]string
}

func (l line) get(key string) string { return l.fields[key] }

// History is the history of one job as found in the logs.
type History struct {
	job          string
	jobLines     []line // lines about the job
	processLines []line // events of whole processes, such as the loss of the store
}

// New returns an empty history of the job.
func New(job string) *History { return &History{job: job} }

// Job returns the job's id.
func (h *History) Job() string { return h.job }

// processEvents are the messages of process-wide events that can affect jobs.
var processEvents = []string{
	"process started", "process drains", "leadership taken", "leadership ended", "term lost", "store lost",
	"store regained", "store read", "runs of earlier terms accounted for", "configuration in force",
	"placement falls behind", "placement has caught up", "leader starts less than is asked", "leader starts what is asked again",
}

// Add adds a log line; lines may come in any order. Text before the time attribute is skipped, and a line without a time is
// ignored.
func (h *History) Add(text string) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return
	}
	l, ok := parse(text[start:])
	if !ok {
		return
	}
	switch {
	case h.isAboutJob(l):
		h.jobLines = append(h.jobLines, l)
	case slices.Contains(processEvents, l.get("msg")):
		h.processLines = append(h.processLines, l)
	}
}

func (h *History) isAboutJob(l line) bool {
	if l.get("job") == h.job {
		return true
	}
	for _, key := range []string{"task", "step"} {
		if job, _, _ := strings.Cut(l.get(key), "."); job == h.job {
			return true
		}
	}
	return false
}

// parse parses a line of the form key=value key="quoted value". It returns false if the line has no valid time.
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

// Lines returns the lines about the job and the process events between the first and the last of them, ordered by time. Each
// is prefixed with its offset in seconds from the first line.
func (h *History) Lines() []string {
	if len(h.jobLines) == 0 {
		return nil
	}
	h.sortLines()
	first, last := h.jobLines[0].at, h.jobLines[len(h.jobLines)-1].at
	all := slices.Clone(h.jobLines)
	for _, l := range h.processLines {
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

func (h *History) sortLines() {
	slices.SortStableFunc(h.jobLines, func(a, b line) int { return a.at.Compare(b.at) })
}

// Cause explains the outcome of the job, or its longest delay, in one sentence.
func (h *History) Cause() string {
	h.sortLines()
	switch {
	case h.findLine("job over", "state", "failed") != nil:
		return h.failureCause()
	case h.findLine("job over", "state", "cancelled") != nil:
		return "the caller cancelled the job."
	case h.findLine("job submitted", "kind", "accepted") == nil && h.findLine("job taken in", "", "") == nil:
		return h.rejectionCause()
	default:
		return h.longestGap()
	}
}

func (h *History) findLine(msg, key, value string) *line {
	for i := range h.jobLines {
		if l := &h.jobLines[i]; l.get("msg") == msg && (key == "" || l.get(key) == value) {
			return l
		}
	}
	return nil
}

func (h *History) failureCause() string {
	for _, l := range h.jobLines {
		if l.get("msg") == "worker crashed under a run" && l.get("job_state") == "failed" {
			return fmt.Sprintf("%s workers crashed right after they had started task %s, which is the maximum for a task.",
				l.get("crashes"), l.get("task"))
		}
	}
	failures := map[string]int{}
	for _, l := range h.jobLines {
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
	return fmt.Sprintf("task %s failed %d times, which is the maximum number of attempts in its queue.", worst, failures[worst])
}

func (h *History) rejectionCause() string {
	l := h.findLine("job submitted", "", "")
	if l == nil {
		return "no process logged a submission of the job."
	}
	return fmt.Sprintf("process %s did not accept the job (%s): %s.", l.get("process"), l.get("kind"), l.get("error"))
}

// longestGap describes the longest interval in which nothing about the job was logged, the process events in that
// interval, and the number of runs that were not successful.
func (h *History) longestGap() string {
	unsuccessful := 0
	for _, l := range h.jobLines {
		if l.get("msg") == "run ended" && l.get("how") != "done" {
			unsuccessful++
		}
	}
	isWait := func(l line) bool { return l.get("msg") == "tasks wait" }
	lines := slices.DeleteFunc(slices.Clone(h.jobLines), isWait)
	if len(lines) == 0 {
		lines = h.jobLines
	}
	from, to := 0, 0
	for i := 1; i < len(lines); i++ {
		if lines[i].at.Sub(lines[i-1].at) > lines[to].at.Sub(lines[from].at) {
			from, to = i-1, i
		}
	}
	a, b := lines[from], lines[to]
	sentence := fmt.Sprintf("the longest gap was %.3f s between %q and %q", b.at.Sub(a.at).Seconds(), a.get("msg"), b.get("msg"))
	if events := h.processEventsBetween(a.at, b.at); len(events) > 0 {
		sentence += "; process events in that time: " + strings.Join(events, ", ")
	}
	if reasons := h.waitReasonsBetween(a.at, b.at); len(reasons) > 0 {
		sentence += "; tasks waited because of: " + strings.Join(reasons, ", ")
	}
	if unsuccessful > 0 {
		sentence += fmt.Sprintf("; %d runs ended without success", unsuccessful)
	}
	return sentence + "."
}

// processEventsBetween returns the process events in the interval, without duplicates.
func (h *History) processEventsBetween(from, to time.Time) []string {
	var names []string
	for _, l := range h.processLines {
		name := l.get("msg") + " (" + l.get("process") + ")"
		if !l.at.Before(from) && !l.at.After(to) && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// waitReasonsBetween returns the reasons for which tasks of the job waited in the interval, without duplicates.
func (h *History) waitReasonsBetween(from, to time.Time) []string {
	var reasons []string
	for _, l := range h.jobLines {
		reason := l.get("kind") + " (" + l.get("step") + ")"
		if l.get("msg") == "tasks wait" && !l.at.Before(from) && !l.at.After(to) && !slices.Contains(reasons, reason) {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}
