package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt and keeps what the checks need.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	began   time.Time
	runs    []*runRecord
	byRun   map[string]*runRecord // by task, run and worker
	highest map[string]int        // by worker: most ends that were not taken note of
	lapses  map[string][]time.Time
}

// runRecord is what a worker saw of a run.
type runRecord struct {
	task, worker   string
	run            uint64
	started, ended time.Time
	how            string
	noted          bool // lastSeen has reached its end
	notedAt        time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	check(err)
	return &recorder{
		file: file, out: bufio.NewWriterSize(file, 1<<16), began: time.Now(), byRun: map[string]*runRecord{}, highest: map[string]int{}, lapses: map[string][]time.Time{},
	}
}

// log writes a line with the time since the start of the script.
func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.log(format, args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	check(r.out.Flush())
	check(r.file.Close())
}

func runKey(w *worker, task string, run uint64) string { return fmt.Sprint(task, "/", run, "/", w.id) }

func (r *recorder) started(w *worker, task string, run, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := &runRecord{task: task, worker: w.id, run: run, started: time.Now()}
	r.runs, r.byRun[runKey(w, task, run)] = append(r.runs, record), record
	r.write("%s starts %s run %d, fencing token %d", w.id, task, run, fence)
}

func (r *recorder) ended(w *worker, task string, run uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.byRun[runKey(w, task, run)]; record != nil {
		record.ended, record.how = time.Now(), how
	}
	r.write("%s ends %s run %d: %s", w.id, task, run, how)
}

func (r *recorder) noted(w *worker, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.byRun[runKey(w, e.task, e.run)]; record != nil {
		record.noted, record.notedAt = true, time.Now()
	}
}

// unseen records how many ends of a worker are not taken note of at a look.
func (r *recorder) unseen(w *worker, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest[w.id] = max(r.highest[w.id], n)
}

// mostUnseen returns the most ends that a worker listed at once and that were not taken note of.
func (r *recorder) mostUnseen() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, n := range r.highest {
		most = max(most, n)
	}
	return most
}

// runsByTask returns the runs of each task in the order of their starts.
func (r *recorder) runsByTask() map[string][]*runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	tasks := map[string][]*runRecord{}
	for _, record := range r.runs {
		tasks[record.task] = append(tasks[record.task], record)
	}
	return tasks
}

// lapse records that the lease of a worker lapses.
func (r *recorder) lapse(w *worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses[w.id] = append(r.lapses[w.id], time.Now())
	r.write("the lease of %s lapses", w.id)
}

// lapsedBetween reports whether the lease of the run's worker lapsed between its end and when the end was taken note of.
func (r *recorder) lapsedBetween(run *runRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.lapses[run.worker] {
		if at.After(run.ended) && at.Before(run.notedAt) {
			return true
		}
	}
	return false
}

// workerOf returns the worker on which the first run of a job is.
func (r *recorder) workerOf(path string) string {
	for task, runs := range r.runsByTask() {
		if taskOf(task, path) {
			return runs[0].worker
		}
	}
	return ""
}

// running returns how many tasks of a job run now.
func (r *recorder) running(path string) int {
	n := 0
	for task, runs := range r.runsByTask() {
		if taskOf(task, path) && runs[len(runs)-1].ended.IsZero() {
			n++
		}
	}
	return n
}

// taskOf reports whether a task belongs to the job at a path.
func taskOf(task, path string) bool {
	id, _, _ := strings.Cut(task, ".")
	return strings.HasSuffix(path, "/"+id)
}
