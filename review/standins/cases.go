package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of SYSTEM.md.
const (
	cancelBound = 3 * time.Second // cancel_ms
)

// newSmallCell starts three processes, and workers of 32 cores and 128 GB in racks of eight.
func newSmallCell(rec *recorder, kind machineKind, workers int) (*cell, []*worker) {
	s := newStore()
	var list []*worker
	for i := range workers {
		rack := fmt.Sprintf("rza-%d", 1+i/8)
		list = append(list, newWorker(fmt.Sprintf("i-%02d", i+1), "printdesk", rack, 32_000, 128<<10, s, rec))
	}
	current = newCell(3, kind, s, rec)
	current.configure()
	current.awaitReady()
	time.Sleep(2 * time.Second) // the leader gets to know the workers
	return current, list
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// awaitStates polls the jobs until all are in a final state or the time is over. It returns the last states.
func (c *cell) awaitStates(paths []string, limit time.Duration) map[string]string {
	states := map[string]string{}
	for deadline := time.Now().Add(limit); ; time.Sleep(500 * time.Millisecond) {
		open := 0
		for _, path := range paths {
			if s := states[path]; s == "completed" || s == "failed" {
				continue
			}
			states[path] = c.state(path)
			if s := states[path]; s != "completed" && s != "failed" {
				open++
			}
		}
		if open == 0 || time.Now().After(deadline) {
			return states
		}
	}
}

// Case "ends": many short tasks, and an outage of the store.
const (
	endsJobs        = 60
	endsTasksPerJob = 100
	endsOutage      = 4 * time.Second
)

// manyEnds reports whether a task was started again after a run of it had ended "done" and this end was taken note of.
func manyEnds(rec *recorder) bool {
	c, _ := newSmallCell(rec, ordinaryMachine, 4)
	var paths []string
	var submitting sync.WaitGroup
	for range endsJobs {
		path := "/batch/" + randomID()
		paths = append(paths, path)
		submitting.Go(func() {
			if !c.submit(path, job(taskSpec{Ms: 200}, endsTasksPerJob, 250, 256)) {
				giveUp("a job was not accepted")
			}
		})
	}
	submitting.Wait()
	if trouble() {
		rec.say("the store answers every call with 503 for %v", endsOutage)
		c.store.setBusy(true)
		time.Sleep(endsOutage)
		c.store.setBusy(false)
		rec.say("the store is back")
	}
	count := map[string]int{}
	for _, state := range c.awaitStates(paths, 60*time.Second) {
		count[state]++
	}
	time.Sleep(2 * time.Second)
	rec.say("states of the %d jobs: %v", endsJobs, count)
	rec.say("most ends listed by one worker at once: %d", rec.mostUnseen())
	return reportTwice(rec)
}

// reportTwice checks TWICE: no two runs of a task at the same time, and no start after an end "done" that is taken note of then
// or later, unless the worker's lease lapsed between the two.
func reportTwice(rec *recorder) bool {
	together, again := map[string]bool{}, map[string]bool{}
	byTask := rec.runsByTask()
	names := make([]string, 0, len(byTask))
	for task := range byTask {
		names = append(names, task)
	}
	sort.Strings(names)
	for _, task := range names {
		runs := byTask[task]
		for i, earlier := range runs {
			for _, later := range runs[i+1:] {
				switch {
				case earlier.ended.IsZero() || later.started.Before(earlier.ended):
					together[task] = true
					rec.log("TWICE: %s run %d at %s while run %d runs at %s", task, later.run, later.worker, earlier.run, earlier.worker)
				case earlier.how == "done" && earlier.noted && !rec.lapsedBetween(earlier):
					again[task] = true
					rec.log("TWICE: %s run %d starts at %s %v after run %d ended done at %s", task, later.run, later.worker,
						later.started.Sub(earlier.ended).Round(time.Millisecond), earlier.run, earlier.worker)
				}
			}
		}
	}
	rec.say("%d tasks ran; tasks with two runs at the same time: %d; tasks started after an end \"done\" that was taken note of: %d",
		len(byTask), len(together), len(again))
	return len(together)+len(again) > 0
}

// Case "flap": one worker of ten goes down and up by turns.
const (
	flapPeriod   = 1400 * time.Millisecond
	flapDuration = 6500 * time.Millisecond
)

// flappingWorker reports whether a job is shown as failed although no run of it has ended "failed".
func flappingWorker(rec *recorder) bool {
	c, workers := newSmallCell(rec, ordinaryMachine, 10)
	var paths []string
	submit := func(path string, body any) {
		if !c.submit(path, body) {
			giveUp("a job was not accepted")
		}
		paths = append(paths, path)
	}
	for range 9 { // each job fills one worker to 27.5 of 32 cores
		submit("/batch/"+randomID(), job(taskSpec{Ms: 45_000}, 5, 5500, 11_000))
		time.Sleep(200 * time.Millisecond)
	}
	watch := "/watch/" + randomID()
	submit(watch, job(taskSpec{Lasts: true}, 4, 6700, 25_000))
	time.Sleep(3 * time.Second)
	host := rec.workerOf(watch)
	if trouble() {
		for _, w := range workers {
			if w.id == host {
				flap(rec, w)
			}
		}
	}
	time.Sleep(lastsBound + calmBound)
	states := c.awaitStates(paths, 45*time.Second-lastsBound-calmBound)
	rec.say("tasks of %s that run now: %d of 4", watch, rec.running(watch))
	return reportFailed(rec, paths, states)
}

// Bounds of LOST for tasks that last: from 6 s after the last run, 3 s and the 4 s before them calm.
const (
	lastsBound = 6 * time.Second
	calmBound  = 7 * time.Second
)

func flap(rec *recorder, w *worker) {
	rec.say("worker %s goes down and up, period %v, for %v", w.id, flapPeriod, flapDuration)
	for began := time.Now(); time.Since(began) < flapDuration; {
		w.crash()
		time.Sleep(flapPeriod / 2)
		w.restart()
		time.Sleep(flapPeriod / 2)
	}
	rec.say("worker %s stays up", w.id)
}

// reportFailed checks LOST: no job is shown as failed without a run that ended "failed".
func reportFailed(rec *recorder, paths []string, states map[string]string) bool {
	failedRuns, lostRuns := map[string]int{}, map[string]int{}
	for task, runs := range rec.runsByTask() {
		id, _, _ := strings.Cut(task, ".")
		for _, r := range runs {
			switch r.how {
			case "failed":
				failedRuns[id]++
			case "crashed":
				lostRuns[id]++
			}
		}
	}
	broken := 0
	for _, path := range paths {
		id := path[strings.LastIndex(path, "/")+1:]
		rec.say("%s is shown as %s; runs that ended failed: %d, runs lost with their worker: %d", path, states[path], failedRuns[id], lostRuns[id])
		if states[path] == "failed" && failedRuns[id] == 0 {
			broken++
		}
	}
	rec.say("jobs shown as failed without a failed run: %d of %d", broken, len(paths))
	return broken > 0
}

// Case "cancel": jobs are cancelled while the writes that store them are still on their way.
const (
	cancelClients    = 150
	cancelWindow     = 1200 * time.Millisecond
	cancelLostShare  = 0.3                    // platform_lost: x (.3) of the writes
	cancelLeavers    = 0.4                    // give_up: share of the clients
	cancelLeaveAfter = 125 * time.Millisecond // half of the objective of proof-check
	stabilityWindow  = 3 * time.Second
)

// cancelUnknown reports whether a task starts later than cancel_ms after the cancelling of its job was acknowledged, and later
// than stabilityWindowMs after the last answer of the store was lost.
func cancelUnknown(rec *recorder) bool {
	c, _ := newSmallCell(rec, ordinaryMachine, 6)
	calm := time.Now()
	if trouble() {
		rec.say("%.0f %% of the writes get no answer for %v, and are executed 1 to 6 s later", 100*cancelLostShare, cancelWindow)
		calm = time.Now().Add(cancelWindow + stabilityWindow)
		c.store.setLate(func(transaction) (time.Duration, bool) {
			return time.Duration(1000+rand.Intn(5000)) * time.Millisecond, rand.Float64() < cancelLostShare
		})
		time.AfterFunc(cancelWindow, func() { c.store.setLate(nil) })
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	cancelled := map[string]time.Time{} // by id: when the cancelling was acknowledged
	for i := range cancelClients {
		time.Sleep(cancelWindow / cancelClients)
		clients.Go(func() {
			id := randomID()
			if rand.Float64() >= cancelLeavers {
				c.submit("/proof/"+id, job(taskSpec{Ms: 300}, 2, 500, 1000))
				return
			}
			if at := c.submitAndLeave(c.nodes[i%3], "/proof/"+id); !at.IsZero() {
				mu.Lock()
				cancelled[id] = at
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(8 * time.Second)
	late := 0
	for task, runs := range rec.runsByTask() {
		id, _, _ := strings.Cut(task, ".")
		acked, ok := cancelled[id]
		for _, r := range runs {
			if after := r.started.Sub(acked); ok && after > cancelBound && r.started.After(calm) {
				late++
				rec.say("UNASKED: %s run %d starts at %s %v after the cancelling was acknowledged; it ended %q, the job is shown as %s",
					task, r.run, r.worker, after.Round(time.Millisecond), r.how, c.state("/proof/"+id))
			}
		}
	}
	rec.say("%d jobs were cancelled by clients that left; starts later than %v after the acknowledgement: %d", len(cancelled), cancelBound, late)
	return late > 0
}

// submitAndLeave hands a job in, leaves if there is no answer in time, and then cancels the job. It returns when the cancelling
// was acknowledged; the zero time if the job was accepted or the cancelling was not acknowledged.
func (c *cell) submitAndLeave(n *node, path string) time.Time {
	status, _ := n.call(http.MethodPost, path, job(taskSpec{Ms: 300}, 2, 500, 1000), cancelLeaveAfter)
	c.rec.log("POST %s at %s: %d (0: the client left after %v)", path, n.name, status, cancelLeaveAfter)
	if status != 0 {
		return time.Time{}
	}
	for try := range 5 {
		time.Sleep(200 * time.Millisecond)
		status, _ = c.nodes[try%len(c.nodes)].call(http.MethodDelete, path, nil, 3*time.Second)
		c.rec.log("DELETE %s at %s: %d", path, c.nodes[try%len(c.nodes)].name, status)
		if status/100 == 2 || status == http.StatusGone {
			return time.Now()
		}
	}
	return time.Time{}
}

// Case "load": the leader is lost when the store holds the jobs of a minute, on machines with small links.
const (
	loadWindow  = 66 * time.Second
	loadGap     = time.Second / 36 // 35.5 jobs a second, as grown/LATER.md gives them
	loadLarge   = 9                // each so many jobs one is a colour-separation: 4.05 of 35.5
	loadProof   = 1000             // bytes of the spec of a proof-check, the site file's mean
	loadColour  = 2400             // and of a colour-separation
	loadProbes  = 10
	loadPatient = 25 * time.Second
)

// slowLoad reports whether accepted jobs have nothing running for 25 s on an idle pool.
func slowLoad(rec *recorder) bool {
	c, _ := newSmallCell(rec, smallMachine, 6)
	var clients sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < loadWindow; n++ {
		size := loadProof
		if n%loadLarge == 0 {
			size = loadColour
		}
		path, body := "/proof/"+randomID(), jobOfSize(size)
		clients.Go(func() { c.submit(path, body) })
		time.Sleep(loadGap)
	}
	clients.Wait()
	ended := len(rec.runsByTask())
	rec.say("%d jobs have run", ended)
	if trouble() {
		c.killLeader()
	}
	time.Sleep(2 * time.Second)
	var paths []string
	for range loadProbes {
		path := "/proof/" + randomID()
		if c.submit(path, jobOfSize(loadProof)) {
			paths = append(paths, path)
		}
	}
	states := c.awaitStates(paths, loadPatient)
	hanging := 0
	for _, path := range paths {
		if rec.workerOf(path) == "" {
			hanging++
		}
		rec.log("%s is shown as %s", path, states[path])
	}
	rec.say("%d jobs were accepted after that; %d of them have not begun %v later, with nothing else on the workers", len(paths), hanging, loadPatient)
	return hanging > 0
}

// jobOfSize returns the body of a job with one task of 0.1 s and a spec of the given size.
func jobOfSize(size int) map[string]any {
	body := job(taskSpec{Ms: 100}, 1, 500, 500)
	body["spec"] = fmt.Sprintf(`{"ms":100,"text":"%s"}`, strings.Repeat("x", size-22))
	return body
}
