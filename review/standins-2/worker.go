//go:build ignore

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"
)

// Timing of a worker.
const (
	heartbeat      = 1500 * time.Millisecond
	startupTime    = 150 * time.Millisecond // of a task that lasts, until it is at work
	stopTime       = 50 * time.Millisecond
	maxHold        = 6 * time.Second
	lapseInterval  = 20 * time.Millisecond
	maxListedEnds  = 500
	storeCallLimit = 2 * time.Second
)

// taskSpec is what the clients of the cases send as spec. Tasks without a duration last until they are stopped.
type taskSpec struct {
	RunMs int `json:"runMs"`
}

type workerRun struct {
	run      uint64
	spec     taskSpec
	began    time.Time
	stopping bool
	end      *time.Timer
}

// worker is a stand-in of a worker. A process of it is one life: to crash it is to kill the process.
type worker struct {
	id, address, rack, kind, storeAddress string
	cpu, memMb                            int64
	began                                 time.Time

	mu      sync.Mutex
	token   uint64
	hold    time.Duration // until when runs may go on, on the clock of the worker
	runs    map[string]*workerRun
	highest map[string]uint64
	ended   [][]any
	lastEnd uint64
	changed chan struct{}
}

func newWorker(id, address, rack, kind, storeAddress string, cpu, memMb int64) *worker {
	return &worker{
		id: id, address: address, rack: rack, kind: kind, storeAddress: storeAddress, cpu: cpu, memMb: memMb, began: time.Now(),
		runs: map[string]*workerRun{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
}

// note writes what the worker has seen to the standard output, which the case collects.
func (w *worker) note(format string, args ...any) {
	fmt.Fprintf(os.Stdout, "%d worker %s %s\n", time.Now().UnixMilli(), w.id, fmt.Sprintf(format, args...))
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// beat writes the registration until the process ends.
func (w *worker) beat() {
	client := &http.Client{Timeout: storeCallLimit}
	for seq := 1; ; seq++ {
		raw, _ := json.Marshal(map[string]any{
			"service": "desk", "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": []string{w.kind, w.rack}, "seq": seq,
			"born": w.began.UnixMilli(),
		})
		response, err := client.Post("http://"+w.storeAddress+"/skylarkstall/standin/put?key="+url.QueryEscape("servers/"+w.id),
			"application/json", bytes.NewReader(raw))
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// lapse kills what runs once the lease has expired, until the process ends.
func (w *worker) lapse() {
	for range time.Tick(lapseInterval) {
		w.mu.Lock()
		w.checkLease()
		w.mu.Unlock()
	}
}

func (w *worker) checkLease() {
	if w.clock() <= w.hold {
		return
	}
	for task, r := range w.runs {
		w.finish(task, r, "lapsed")
	}
}

func (w *worker) finish(task string, r *workerRun, how string) {
	if w.runs[task] != r {
		return
	}
	if r.end != nil {
		r.end.Stop()
	}
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.run, how, ""})
	w.note("end task=%s run=%d how=%s", task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// workerCall holds the fields of every call.
type workerCall struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Hold     int64  `json:"holdUntilMs"`
	Token    uint64 `json:"fencingToken"`
	LastSeen uint64 `json:"lastSeen"`
	WaitMs   int    `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var call workerCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		answer(out, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Header.Get("Target-Instance") != w.id {
		answer(out, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if call.Token < w.token {
		w.refuse(out, "fence")
		return
	}
	w.token = call.Token
	switch r.URL.Path {
	case "/skylarkstall/run-start":
		w.start(out, call)
	case "/skylarkstall/run-stop":
		w.stop(call)
		answer(out, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.began.UnixMilli()})
	case "/skylarkstall/pace":
		answer(out, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.began.UnixMilli()})
	case "/skylarkstall/hold":
		w.sync(out, r, call)
	default:
		answer(out, http.StatusBadRequest, struct{}{})
	}
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.began.UnixMilli(), "reason": reason})
}

func (w *worker) extend(call workerCall) {
	w.hold = max(w.hold, min(time.Duration(call.Hold)*time.Millisecond, w.clock()+maxHold))
}

func (w *worker) start(out http.ResponseWriter, call workerCall) {
	if r := w.runs[call.Task]; r != nil && r.run == call.Run {
		answer(out, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.began.UnixMilli()})
		return
	}
	if time.Duration(call.Hold)*time.Millisecond <= w.clock() {
		w.refuse(out, "late")
		return
	}
	w.extend(call)
	if call.Run <= w.highest[call.Task] || w.runs[call.Task] != nil {
		w.refuse(out, "old")
		return
	}
	run := &workerRun{run: call.Run, began: time.Now()}
	_ = json.Unmarshal([]byte(call.Spec), &run.spec)
	w.runs[call.Task] = run
	w.note("start task=%s run=%d token=%d spec=%s", call.Task, call.Run, call.Token, call.Spec)
	if run.spec.RunMs > 0 {
		run.end = time.AfterFunc(time.Duration(run.spec.RunMs)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(call.Task, run, "done")
		})
	}
	answer(out, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.began.UnixMilli()})
}

func (w *worker) stop(call workerCall) {
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	r := w.runs[call.Task]
	if r == nil || r.run > call.Run || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(call.Task, r, "stopped")
	})
}

func (w *worker) sync(out http.ResponseWriter, r *http.Request, call workerCall) {
	w.extend(call)
	kept := w.ended[:0:0]
	for _, row := range w.ended {
		if row[0].(uint64) > call.LastSeen {
			kept = append(kept, row)
		} else {
			w.note("taken-note task=%s run=%d how=%s", row[1], row[2], row[3])
		}
	}
	w.ended = kept
	deadline := time.After(time.Duration(call.WaitMs) * time.Millisecond)
	for waiting := call.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	w.checkLease()
	running := [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.run, "", run.percent(), 1})
	}
	answer(out, http.StatusOK, map[string]any{
		"clockMs": w.clock().Milliseconds(), "born": w.began.UnixMilli(), "running": running,
		"ended": append([][]any{}, w.ended[:min(len(w.ended), maxListedEnds)]...),
	})
}

func (r *workerRun) percent() int64 {
	total := startupTime
	if r.spec.RunMs > 0 {
		total = time.Duration(r.spec.RunMs) * time.Millisecond
	}
	return min(100*int64(time.Since(r.began))/int64(total), 100)
}
