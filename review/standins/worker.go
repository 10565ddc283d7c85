package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of a worker, as SYSTEM.md, DEPLOY.md and PROTOCOL.md give them.
const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 6 * time.Second
	stopDuration = 20 * time.Millisecond // at most stopGraceMs
	maxEndsSent  = 500                   // "The others are returned again (500 at a time)"
	maxWait      = 2 * time.Second
)

// taskSpec is the spec of the jobs that a script hands in: how long a task works on a worker.
type taskSpec struct {
	Ms    int64 `json:"ms"`
	Lasts bool  `json:"lasts"` // the task runs until it is stopped
}

// worker is a stand-in of a worker. It can crash and start again under its id and address.
type worker struct {
	id, service, rack string
	cpu, memMb        int64
	store             *store
	rec               *recorder
	address           string

	mu       sync.Mutex
	up       bool
	server   *http.Server
	life     *life
	lastBeat time.Time
}

// life is what a worker loses in a crash.
type life struct {
	born    time.Time
	fence   uint64
	hold    time.Duration // on the worker's clock
	lapsed  bool
	running map[string]*run
	highest map[string]uint64 // by task: highest run that was stopped or ended
	ended   []end
	lastEnd uint64
	changed chan struct{}
}

type run struct {
	number   uint64
	spec     taskSpec
	started  time.Time
	stopping bool
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
}

func newWorker(id, service, rack string, cpu, memMb int64, s *store, rec *recorder) *worker {
	w := &worker{id: id, service: service, rack: rack, cpu: cpu, memMb: memMb, store: s, rec: rec}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.address = listener.Addr().String()
	w.serve(listener)
	go w.tick()
	return w
}

// serve begins a new life of the worker on the listener.
func (w *worker) serve(listener net.Listener) {
	w.mu.Lock()
	w.life = &life{born: time.Now(), running: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{})}
	w.up, w.server, w.lastBeat = true, &http.Server{Handler: w}, time.Time{}
	server := w.server
	w.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // returns when the worker crashes
	w.beat()
}

// crash ends all that runs. Connections break, and new ones are refused until the worker is started again.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for task, r := range w.life.running {
		w.rec.ended(w, task, r.number, "crashed")
	}
	w.life.running = map[string]*run{}
	server := w.server
	w.mu.Unlock()
	server.Close()
	w.rec.log("worker %s crashes", w.id)
}

// restart starts the worker again under its id and address.
func (w *worker) restart() {
	listener, err := net.Listen("tcp", w.address)
	check(err)
	w.rec.log("worker %s is back", w.id)
	w.serve(listener)
}

// tick sends heartbeats, ends runs whose time has come, and ends all of them when the lease expires.
func (w *worker) tick() {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		if !w.up {
			if time.Since(w.lastBeat) > 3*heartbeat {
				w.mu.Unlock()
				w.store.remove("servers/" + w.id)
				continue
			}
			w.mu.Unlock()
			continue
		}
		due := time.Since(w.lastBeat) > heartbeat
		lapsed := w.clock() > w.life.hold
		if lapsed && !w.life.lapsed && w.life.hold > 0 {
			w.rec.lapse(w)
		}
		w.life.lapsed = lapsed
		for task, r := range w.life.running {
			switch {
			case lapsed:
				w.finish(task, r, "lapsed")
			case !r.stopping && !r.spec.Lasts && time.Since(r.started).Milliseconds() >= r.spec.Ms:
				w.finish(task, r, "done")
			}
		}
		w.mu.Unlock()
		if due && !w.store.isBusy() {
			w.beat()
		}
	}
}

// beat writes the worker's entry to the store.
func (w *worker) beat() {
	w.mu.Lock()
	w.lastBeat = time.Now()
	born, clock := w.life.born.UnixMilli(), w.clock().Milliseconds()
	w.mu.Unlock()
	w.store.put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": []string{"a", w.rack}, "clockMs": clock,
		"seq": time.Now().UnixMilli(), "born": born,
	})
}

// clock returns the worker's steady clock. The lock is held.
func (w *worker) clock() time.Duration { return time.Since(w.life.born) }

// finish ends a run. The lock is held.
func (w *worker) finish(task string, r *run, how string) {
	l := w.life
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.lastEnd++
	l.ended = append(l.ended, end{l.lastEnd, task, r.number, how})
	w.rec.ended(w, task, r.number, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

type order struct {
	Task        string `json:"task"`
	Run         uint64 `json:"run"`
	Spec        string `json:"spec"`
	HoldUntilMs int64  `json:"holdUntilMs"`
	Fence       uint64 `json:"fencingToken"`
	LastSeen    uint64 `json:"lastSeen"`
	WaitMs      int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	if o.Fence < w.life.fence {
		w.refuse(rw, "fence")
		return
	}
	w.life.fence = o.Fence
	switch r.URL.Path {
	case "/skylarkstall/run-start":
		if reason := w.start(o); reason != "" {
			w.refuse(rw, reason)
			return
		}
	case "/skylarkstall/run-stop":
		w.stop(o)
	case "/skylarkstall/pace":
	case "/skylarkstall/hold":
		w.holdAndLook(rw, r, o)
		return
	default:
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"clockMs": clock})
}

// refuse answers 409. It releases the lock.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	reply(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
}

// extend extends the lease. The lock is held.
func (w *worker) extend(o order) {
	until := min(time.Duration(o.HoldUntilMs)*time.Millisecond, w.clock()+maxHold)
	w.life.hold = max(w.life.hold, until)
}

// start returns the reason for a refusal, or "". The lock is held.
func (w *worker) start(o order) string {
	if r := w.life.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if time.Duration(o.HoldUntilMs)*time.Millisecond < w.clock() {
		return "late"
	}
	w.extend(o)
	if o.Run <= w.life.highest[o.Task] {
		return "old"
	}
	var spec taskSpec
	check(json.Unmarshal([]byte(o.Spec), &spec))
	w.life.running[o.Task] = &run{number: o.Run, spec: spec, started: time.Now()}
	w.rec.started(w, o.Task, o.Run, o.Fence)
	return ""
}

// stop begins to stop a run. The lock is held.
func (w *worker) stop(o order) {
	w.life.highest[o.Task] = max(w.life.highest[o.Task], o.Run)
	r, l := w.life.running[o.Task], w.life
	if r == nil || r.number != o.Run || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopDuration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == l && l.running[o.Task] == r {
			w.finish(o.Task, r, "stopped")
		}
	})
}

// holdAndLook extends the lease, forgets ends and returns both lists. It releases the lock.
func (w *worker) holdAndLook(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o)
	l := w.life
	for len(l.ended) > 0 && l.ended[0].number <= o.LastSeen {
		w.rec.noted(w, l.ended[0])
		l.ended = l.ended[1:]
	}
	deadline := time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	for waiting := o.WaitMs > 0; waiting && len(l.ended) == 0; {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range l.running {
		running = append(running, []any{task, r.number, "", r.percent(), 0})
	}
	for _, e := range l.ended[:min(len(l.ended), maxEndsSent)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.rec.unseen(w, len(l.ended))
	body := map[string]any{
		"clockMs": w.clock().Milliseconds(), "born": l.born.UnixMilli(), "running": running, "ended": ended,
	}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

func (r *run) percent() int64 {
	if r.spec.Lasts {
		return 100
	}
	return min(100*time.Since(r.started).Milliseconds()/max(r.spec.Ms, 1), 100)
}
