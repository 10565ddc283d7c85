// Package worker is a stand-in for a worker: it runs tasks that only wait, under the rules of the grant aggregate.
package worker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/adapter/workerhttp"
	"skylarkstall/internal/domain/grant"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/work"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
	"skylarkstall/internal/pause"
)

// Payload tells the stand-in what a task does. A payload that is not of this form runs for DefaultRun and succeeds.
type Payload struct {
	RunMS int64  `json:"run_ms"`
	Fail  bool   `json:"fail"`
	Echo  string `json:"echo"`
}

// DefaultRun is how long a task runs that does not say.
const DefaultRun = 50 * time.Millisecond

// expireInterval is how often the stand-in looks whether its task lease has lapsed.
const expireInterval = 250 * time.Millisecond

// Settings describe a stand-in.
type Settings struct {
	Capacity resource.Vector
	Zone     ident.Zone
	Rack     ident.Rack
	FailAll  bool // every task fails at once
}

// Worker is a stand-in that listens for commands.
type Worker struct {
	settings Settings
	grant    *grant.Grant
	changed  notify.Broadcast
	ctx      context.Context
	cancel   context.CancelFunc
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	tasks   map[ident.TaskID]task // that run
	running sync.WaitGroup
	order   sync.Mutex // keeps observations in the order of the grant's decisions
	observe func(Observation)
}

// task is an attempt that runs.
type task struct {
	start  work.Start
	cancel context.CancelFunc
}

// Observation is the start or end of an attempt, for tests that check promises.
type Observation struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Size    resource.Vector
	Started bool // false at the end
}

// Start returns a stand-in that listens on the address. observe may be nil.
func Start(address string, settings Settings, observe func(Observation)) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.As(fault.Unavailable, err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		settings: settings, grant: grant.New(settings.Capacity, settings.Zone, settings.Rack),
		ctx: ctx, cancel: cancel, listener: listener, tasks: map[ident.TaskID]task{}, observe: observe,
	}
	w.server = httpjson.NewServer(w.routes())
	w.running.Add(1)
	go w.expireLoop()
	go func() { _ = w.server.Serve(listener) }() // returns when the server is closed
	return w, nil
}

// Address returns host:port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close ends the stand-in and its tasks at once, as when its VM fails.
func (w *Worker) Close() {
	w.cancel()
	_ = w.server.Close() // nothing to do about a failed close
	w.running.Wait()
}

// Drain makes the stand-in refuse further starts.
func (w *Worker) Drain() { w.grant.Drain() }

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerhttp.PathClaim, w.claim)
	mux.HandleFunc("POST "+workerhttp.PathSync, w.sync)
	mux.HandleFunc("POST "+workerhttp.PathRelease, w.release)
	mux.HandleFunc("POST "+workerhttp.PathStart, w.start)
	mux.HandleFunc("POST "+workerhttp.PathStop, w.stop)
	mux.HandleFunc("POST "+workerhttp.PathCheckpoint, w.checkpoint)
	mux.HandleFunc("POST "+workerhttp.PathThrottle, w.throttle)
	return mux
}

func (w *Worker) claim(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.ClaimCall
	if err := httpjson.Read(rw, r, &call); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	inv, err := w.grant.Claim(time.Now(), call.Claim())
	if err != nil {
		writeRefusedClaim(rw, inv, err)
		return
	}
	httpjson.Write(rw, workerhttp.EncodeInventory(inv))
}

func writeRefusedClaim(rw http.ResponseWriter, inv work.Inventory, err error) {
	rw.WriteHeader(fault.KindOf(err).Answer().Status)
	_ = json.NewEncoder(rw).Encode(struct { // the connection broke; there is nobody to tell
		httpjson.Failure
		Epoch  uint64 `json:"epoch"`
		Holder string `json:"holder"`
	}{httpjson.FailureOf(err), uint64(inv.Epoch), string(inv.Holder)})
}

func (w *Worker) sync(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.SyncCall
	if err := httpjson.Read(rw, r, &call); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	sync, err := call.Sync()
	if err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	reply, err := w.waitForOutcomes(r.Context(), sync)
	if err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	httpjson.Write(rw, workerhttp.EncodeSyncReply(reply))
}

func (w *Worker) waitForOutcomes(ctx context.Context, sync work.Sync) (work.SyncReply, error) {
	timer := time.NewTimer(sync.Wait)
	defer timer.Stop()
	for {
		changed := w.changed.Changed()
		reply, err := w.grant.Sync(time.Now(), sync)
		if err != nil || len(reply.Outcomes) > 0 || sync.Wait <= 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		case <-w.ctx.Done():
			return reply, nil
		}
	}
}

func (w *Worker) release(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.EpochCall
	err := httpjson.Read(rw, r, &call)
	if err == nil {
		err = w.grant.Release(ident.Epoch(call.Epoch))
	}
	writeDone(rw, err)
}

func writeDone(rw http.ResponseWriter, err error) {
	if err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.StartCall
	if err := httpjson.Read(rw, r, &call); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	start, sent, err := call.Start()
	if err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	w.order.Lock()
	defer w.order.Unlock()
	fresh, err := w.grant.Start(time.Now(), sent, start)
	if err == nil && fresh {
		w.launch(start)
	}
	writeDone(rw, err)
}

// launch runs the task in a goroutine of its own.
func (w *Worker) launch(start work.Start) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.tasks[start.Task] = task{start, cancel}
	w.mu.Unlock()
	w.note(Observation{start.Task, start.Attempt, start.Size, true})
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		defer cancel()
		w.run(ctx, start)
	}()
}

func (w *Worker) run(ctx context.Context, start work.Start) {
	payload := Payload{RunMS: DefaultRun.Milliseconds()}
	_ = json.Unmarshal(start.Payload, &payload) // another payload runs with the defaults
	began := time.Now()
	if !w.settings.FailAll {
		pause.For(ctx, time.Duration(payload.RunMS)*time.Millisecond)
	}
	outcome := work.Outcome{
		Task: start.Task, Attempt: start.Attempt, OK: !payload.Fail && !w.settings.FailAll, RunTime: time.Since(began),
	}
	if outcome.OK {
		outcome.Output = []byte(payload.Echo)
	} else {
		outcome.Message = "the task exited with status 1"
	}
	w.order.Lock()
	defer w.order.Unlock()
	if w.halt(start.Task, start.Attempt) && w.ctx.Err() == nil && w.grant.Finish(outcome) {
		w.changed.Signal()
	}
}

func (w *Worker) note(o Observation) {
	if w.observe != nil {
		w.observe(o)
	}
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	writeDone(rw, w.stopTask(rw, r))
}

func (w *Worker) stopTask(rw http.ResponseWriter, r *http.Request) error {
	var call workerhttp.TaskCall
	if err := httpjson.Read(rw, r, &call); err != nil {
		return err
	}
	task, err := call.ID()
	if err != nil {
		return err
	}
	w.order.Lock()
	defer w.order.Unlock()
	attempt, err := w.grant.Stop(ident.Epoch(call.Epoch), task)
	if err != nil {
		return err
	}
	w.halt(task, attempt)
	w.changed.Signal()
	return nil
}

// halt notes the end of an attempt. It returns false if the attempt does not run.
func (w *Worker) halt(id ident.TaskID, attempt ident.Attempt) bool {
	w.mu.Lock()
	t, ok := w.tasks[id]
	ok = ok && t.start.Attempt == attempt
	if ok {
		t.cancel()
		delete(w.tasks, id)
	}
	w.mu.Unlock()
	if ok {
		w.note(Observation{id, attempt, t.start.Size, false})
	}
	return ok
}

// expire stops every task when nobody renewed the control lease for the task lease.
func (w *Worker) expire(now time.Time) {
	w.order.Lock()
	defer w.order.Unlock()
	for _, id := range w.grant.Expire(now) {
		w.mu.Lock()
		attempt := w.tasks[id].start.Attempt
		w.mu.Unlock()
		w.halt(id, attempt)
	}
}

func (w *Worker) checkpoint(rw http.ResponseWriter, r *http.Request) {
	if err := w.stopTask(rw, r); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	httpjson.Write(rw, workerhttp.CheckpointReply{Saved: []byte("checkpoint")})
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.TaskCall
	writeDone(rw, httpjson.Read(rw, r, &call))
}

func (w *Worker) expireLoop() {
	defer w.running.Done()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			w.expire(now)
		case <-w.ctx.Done():
			return
		}
	}
}
