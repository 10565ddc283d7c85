//go:build review

package standins3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"skylarkstall/platform/platformtest"
)

// Limits of a worker that the users' pages set.
const (
	maxHold       = 6 * time.Second
	heartbeat     = 1500 * time.Millisecond
	maxListedEnds = 500
	leaseCheck    = 20 * time.Millisecond
	replyInterval = 5 * time.Millisecond // at which a waiting reply looks for an end
)

// work is the spec of a job: how long its tasks run, and how many runs of a task fail at their end. Tasks that last are at work after RunMs.
type work struct {
	RunMs int  `json:"run_ms"`
	Fails int  `json:"fails"`
	Lasts bool `json:"lasts"`
}

// worker is a stand-in of a worker. A life of it holds and knows nothing of the one before.
type worker struct {
	cell     *cell
	id       string
	address  string
	service  string
	labels   []string
	capacity platformtest.Capacity

	mu   sync.Mutex
	down bool
	life life
	open map[net.Conn]bool
}

// life is what a worker loses in a crash.
type life struct {
	born    time.Time
	token   uint64
	runs    map[string]*run
	highest map[string]uint64 // by task: the highest run that was stopped or has ended
	ended   [][]any
	lastEnd uint64
	lease   time.Duration // on the worker's clock
}

// run is a run on a worker.
type run struct {
	number  uint64
	started time.Time
	length  time.Duration
	failing bool
	lasts   bool
}

func newLife() life {
	return life{born: time.Now(), runs: map[string]*run{}, highest: map[string]uint64{}}
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// addWorker starts a worker with labels and registers it.
func (c *cell) addWorker(id, service string, capacity platformtest.Capacity, labels ...string) *worker {
	w := &worker{cell: c, id: id, service: service, labels: labels, capacity: capacity, life: newLife(), open: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	w.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serve), ConnState: w.track}
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() { _ = server.Close() })
	w.register()
	go w.run()
	return w
}

// track keeps the open connections, which a crash closes.
func (w *worker) track(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.open, conn)
	}
}

func (w *worker) register() {
	w.mu.Lock()
	born := w.life.born.UnixMilli()
	w.mu.Unlock()
	w.cell.store.Put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": w.capacity, "labels": w.labels, "seq": 1, "born": born,
	})
}

// run writes heartbeats, ends runs that are done, and ends all runs when the lease has expired.
func (w *worker) run() {
	beat := time.Now()
	for w.cell.t.Context().Err() == nil {
		time.Sleep(leaseCheck)
		w.mu.Lock()
		down := w.down
		if !down {
			w.advance()
		}
		w.mu.Unlock()
		if !down && time.Since(beat) > heartbeat {
			beat = time.Now()
			w.register()
		}
	}
}

// advance ends what has ended by now. The lock is held.
func (w *worker) advance() {
	for task, r := range w.life.runs {
		switch {
		case w.life.clock() > w.life.lease:
			w.end(task, r, "lapsed")
		case r.lasts || time.Since(r.started) < r.length:
		case r.failing:
			w.end(task, r, "failed")
		default:
			w.end(task, r, "done")
		}
	}
}

// end ends a run. The lock is held.
func (w *worker) end(task string, r *run, how string) {
	delete(w.life.runs, task)
	w.life.highest[task] = max(w.life.highest[task], r.number)
	w.life.lastEnd++
	w.life.ended = append(w.life.ended, []any{w.life.lastEnd, task, r.number, how, ""})
	w.cell.noteEnd(task, how)
	w.cell.record.add("%s: run %d of %s ends %s", w.id, r.number, task, how)
}

// crash ends everything without a word. The worker refuses nothing and answers nothing for the downtime, and then begins its next life.
func (w *worker) crash(downtime time.Duration) {
	w.mu.Lock()
	w.cell.record.add("%s: crashes with %d runs, back after %v", w.id, len(w.life.runs), downtime)
	w.down = true
	for conn := range w.open {
		_ = conn.Close()
	}
	w.mu.Unlock()
	time.AfterFunc(downtime, func() {
		w.mu.Lock()
		w.life, w.down = newLife(), false
		w.mu.Unlock()
		w.register()
		w.cell.record.add("%s: is back", w.id)
	})
}

// order holds the fields of every request to a worker.
type order struct {
	Task        string `json:"task"`
	Run         uint64 `json:"run"`
	Spec        string `json:"spec"`
	HoldUntilMs int64  `json:"holdUntilMs"`
	Token       uint64 `json:"fencingToken"`
	LastSeen    uint64 `json:"lastSeen"`
	WaitMs      int64  `json:"waitMs"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	down, born := w.down, w.life.born
	w.mu.Unlock()
	if down {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/skylarkstall/hold" {
		w.hold(rw, r, o, born)
		return
	}
	w.mu.Lock()
	reason := w.fence(o)
	if reason == "" {
		switch r.URL.Path {
		case "/skylarkstall/run-start":
			reason = w.startRun(o)
		case "/skylarkstall/run-stop":
			w.stopRun(o)
		}
	}
	clock := w.life.clock().Milliseconds()
	w.mu.Unlock()
	answer(rw, reason, map[string]any{"clockMs": clock})
}

// answer sends a body with status 200, or 409 if there is a reason.
func answer(rw http.ResponseWriter, reason string, body map[string]any) {
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails only if the caller has gone
}

func (w *worker) fence(o order) string {
	if o.Token < w.life.token {
		return "fence"
	}
	w.life.token = o.Token
	return ""
}

// extend extends the lease, which is at most maxHold and never shortens. The lock is held.
func (w *worker) extend(o order) {
	if o.HoldUntilMs > 0 {
		w.life.lease = max(w.life.lease, min(time.Duration(o.HoldUntilMs)*time.Millisecond, w.life.clock()+maxHold))
	}
}

// startRun returns the reason for a rejection, or an empty string. The lock is held.
func (w *worker) startRun(o order) string {
	if r := w.life.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if time.Duration(o.HoldUntilMs)*time.Millisecond < w.life.clock() {
		return "late"
	}
	w.extend(o)
	if o.Run <= w.life.highest[o.Task] {
		return "old"
	}
	var spec work
	_ = json.Unmarshal([]byte(o.Spec), &spec) // the specs are those of this review
	number := w.cell.noteStart(o.Task)
	w.life.runs[o.Task] = &run{
		number: o.Run, started: time.Now(), length: time.Duration(spec.RunMs) * time.Millisecond, failing: number <= spec.Fails, lasts: spec.Lasts,
	}
	w.cell.record.add("%s: run %d of %s starts", w.id, o.Run, o.Task)
	return ""
}

func (w *worker) stopRun(o order) {
	if r := w.life.runs[o.Task]; r != nil && r.number == o.Run {
		w.end(o.Task, r, "stopped")
	}
	w.life.highest[o.Task] = max(w.life.highest[o.Task], o.Run)
}

// hold extends the lease, forgets the ends that were seen, and answers with both lists at once or when there is an end.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order, born time.Time) {
	w.mu.Lock()
	reason := w.fence(o)
	if reason == "" {
		w.extend(o)
		w.life.ended = slices.DeleteFunc(w.life.ended, func(row []any) bool { return row[0].(uint64) <= o.LastSeen })
	}
	w.mu.Unlock()
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for reason == "" && !w.hasEnds() && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(replyInterval)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || !w.life.born.Equal(born) {
		return // its connection is closed
	}
	running := [][]any{}
	for task, run := range w.life.runs {
		running = append(running, []any{task, run.number, "", min(100*time.Since(run.started)/max(run.length, 1), 100), 0})
	}
	answer(rw, reason, map[string]any{
		"clockMs": w.life.clock().Milliseconds(), "born": w.life.born.UnixMilli(), "running": running,
		"ended": append([][]any{}, w.life.ended[:min(len(w.life.ended), maxListedEnds)]...),
	})
}

func (w *worker) hasEnds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.life.ended) > 0
}

// tally counts what the workers have seen of the tasks.
type tally struct {
	mu     sync.Mutex
	starts map[string]int
	ends   map[string]map[string]int // by task and way
}

// noteStart counts a start of a task and returns how many there have been.
func (c *cell) noteStart(task string) int {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	c.tally.starts[task]++
	return c.tally.starts[task]
}

func (c *cell) noteEnd(task, how string) {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if c.tally.ends[task] == nil {
		c.tally.ends[task] = map[string]int{}
	}
	c.tally.ends[task][how]++
}

// ofJob returns the number of starts of all tasks of a job, and of their ends in the given way.
func (c *cell) ofJob(id, how string) (starts, ends int) {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	for task, n := range c.tally.starts {
		if len(task) > len(id) && task[:len(id)] == id {
			starts, ends = starts+n, ends+c.tally.ends[task][how]
		}
	}
	return starts, ends
}

// specOf returns the spec of a job.
func specOf(w work) string {
	raw, err := json.Marshal(w)
	if err != nil {
		panic(fmt.Sprint("a struct of numbers: ", err))
	}
	return string(raw)
}
