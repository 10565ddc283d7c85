// Package worker is a fake worker whose tasks only sleep. It follows the rules of package grant.
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

// Payload controls what a task does. A task with any other payload runs for DefaultRunTime and succeeds.
type Payload struct {
	RunMS int64  `json:"run_ms"`
	Fail  bool   `json:"fail"`
	Echo  string `json:"echo"`
}

// DefaultRunTime is the run time of a task whose payload does not set it.
const DefaultRunTime = 50 * time.Millisecond

// leaseCheckInterval is how often the worker checks whether its task lease has expired.
const leaseCheckInterval = 250 * time.Millisecond

// Settings configure a worker.
type Settings struct {
	Capacity resource.Vector
	Zone     ident.Zone
	Rack     ident.Rack
	FailAll  bool // all tasks fail immediately
}

// Worker is a fake worker that listens for commands.
type Worker struct {
	changed  notify.Broadcast
	ctx      context.Context
	cancel   context.CancelFunc
	server   *http.Server
	listener *listener
	running  sync.WaitGroup
	observe  func(Observation)

	decisionMu sync.Mutex // makes each decision of the grant atomic with its observation

	mu             sync.Mutex
	settings       Settings
	grant          *grant.WorkerState
	tasks          map[ident.TaskID]*task
	usage          map[ident.TaskID]resource.Vector
	ignoreThrottle bool
	startGate      chan struct{}
}

// task is a running attempt.
type task struct {
	start  work.StartRequest
	cancel context.CancelFunc
}

// Observation is the start or end of an attempt, for tests that check invariants.
type Observation struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Size    resource.Vector
	Started bool // true for a start, false for an end
}

// Start starts a worker that listens on the address. observe may be nil.
func Start(address string, settings Settings, observe func(Observation)) (*Worker, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		settings: settings, grant: grant.New(settings.Capacity, settings.Zone, settings.Rack),
		ctx: ctx, cancel: cancel, observe: observe, listener: &listener{Listener: tcp, open: map[*conn]struct{}{}},
		tasks: map[ident.TaskID]*task{}, usage: map[ident.TaskID]resource.Vector{},
	}
	w.server = httpjson.NewServer(w.routes())
	w.running.Add(1)
	go w.expireLoop()
	go func() { _ = w.server.Serve(w.listener) }() // returns when the server is closed
	return w, nil
}

// Address returns the listening address as host:port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close stops the worker and its tasks immediately, like a failure of its VM.
func (w *Worker) Close() {
	w.cancel()
	_ = w.server.Close() // a failed close needs no handling
	w.running.Wait()
}

func (w *Worker) state() *grant.WorkerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grant
}

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
	var call workerhttp.ClaimRequest
	if err := httpjson.ReadJSON(rw, r, &call); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	inv, err := w.state().Claim(time.Now(), call.Decode())
	if err != nil {
		writeRefusedClaim(rw, inv, err)
		return
	}
	httpjson.WriteJSON(rw, workerhttp.EncodeInventory(inv))
}

func writeRefusedClaim(rw http.ResponseWriter, inv work.Inventory, err error) {
	rw.WriteHeader(fault.KindOf(err).Response().HTTPStatus)
	_ = json.NewEncoder(rw).Encode(struct { // fails only if the connection is broken
		httpjson.ErrorBody
		Epoch  uint64 `json:"epoch"`
		Holder string `json:"holder"`
	}{httpjson.NewErrorBody(err), uint64(inv.Epoch), string(inv.Holder)})
}

func (w *Worker) sync(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.SyncRequest
	if err := httpjson.ReadJSON(rw, r, &call); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	sync, err := call.Decode()
	if err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	reply, err := w.waitForOutcomes(r.Context(), sync)
	if err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	httpjson.WriteJSON(rw, workerhttp.EncodeSyncReply(reply))
}

func (w *Worker) waitForOutcomes(ctx context.Context, sync work.SyncRequest) (work.SyncReply, error) {
	timer := time.NewTimer(sync.MaxWait)
	defer timer.Stop()
	var first *bool
	for {
		changed := w.changed.Changed()
		reply, err := w.state().Sync(time.Now(), sync)
		reply.Usage = w.measuredUsage()
		if first == nil {
			first = &reply.Draining
		}
		if err != nil || len(reply.Outcomes) > 0 || reply.Draining != *first || sync.MaxWait <= 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			reply.Usage = w.measuredUsage()
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		case <-w.ctx.Done():
			return reply, nil
		}
	}
}

func (w *Worker) release(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.ReleaseRequest
	err := httpjson.ReadJSON(rw, r, &call)
	if err == nil {
		err = w.state().Release(time.Now(), ident.Epoch(call.Epoch))
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
	var call workerhttp.StartRequest
	if err := httpjson.ReadJSON(rw, r, &call); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	start, sent, err := call.Decode()
	if err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	w.waitStartGate()
	writeDone(rw, w.startTask(start, sent))
}

// startTask starts the task if the grant admits it and it is not a repeated command.
func (w *Worker) startTask(start work.StartRequest, sent time.Time) error {
	w.decisionMu.Lock()
	defer w.decisionMu.Unlock()
	fresh, err := w.state().Start(time.Now(), sent, start)
	if err == nil && fresh {
		w.launch(start)
	}
	return err
}

// launch runs the task in a new goroutine.
func (w *Worker) launch(start work.StartRequest) {
	ctx, cancel := context.WithCancel(w.ctx)
	t := &task{start, cancel}
	w.mu.Lock()
	w.tasks[start.Task] = t
	w.mu.Unlock()
	w.notifyObserver(Observation{start.Task, start.Attempt, start.Size, true})
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		defer cancel()
		w.run(ctx, t)
	}()
}

func (w *Worker) run(ctx context.Context, t *task) {
	payload := Payload{RunMS: DefaultRunTime.Milliseconds()}
	_ = json.Unmarshal(t.start.Payload, &payload) // a task with any other payload uses the defaults
	started := time.Now()
	w.mu.Lock()
	failAll := w.settings.FailAll
	w.mu.Unlock()
	if !failAll {
		pause.For(ctx, time.Duration(payload.RunMS)*time.Millisecond)
	}
	outcome := work.Outcome{
		Task: t.start.Task, Attempt: t.start.Attempt, OK: !payload.Fail && !failAll, RunTime: time.Since(started),
	}
	if outcome.OK {
		outcome.Output = []byte(payload.Echo)
	} else {
		outcome.Message = "the task exited with status 1"
	}
	w.decisionMu.Lock()
	defer w.decisionMu.Unlock()
	if w.endTask(t) && w.state().Finish(outcome) {
		w.changed.Signal()
	}
}

// endTask removes the task and reports its end to the observer. It returns false if the task had already ended.
func (w *Worker) endTask(t *task) bool {
	w.mu.Lock()
	current := w.tasks[t.start.Task] == t
	if current {
		delete(w.tasks, t.start.Task)
		delete(w.usage, t.start.Task)
	}
	w.mu.Unlock()
	if current {
		w.notifyObserver(Observation{t.start.Task, t.start.Attempt, t.start.Size, false})
	}
	return current
}

// endAllTasks ends all tasks as endTask does.
func (w *Worker) endAllTasks() {
	w.mu.Lock()
	all := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		all = append(all, t)
	}
	w.mu.Unlock()
	for _, t := range all {
		w.endTask(t)
	}
}

func (w *Worker) notifyObserver(o Observation) {
	if w.observe != nil {
		w.observe(o)
	}
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	writeDone(rw, w.stopTask(rw, r))
}

func (w *Worker) stopTask(rw http.ResponseWriter, r *http.Request) error {
	var call workerhttp.TaskRequest
	if err := httpjson.ReadJSON(rw, r, &call); err != nil {
		return err
	}
	id, err := call.TaskID()
	if err != nil {
		return err
	}
	w.decisionMu.Lock()
	defer w.decisionMu.Unlock()
	if _, err := w.state().Stop(time.Now(), ident.Epoch(call.Epoch), id); err != nil {
		return err
	}
	w.cancelTask(id)
	w.changed.Signal()
	return nil
}

func (w *Worker) cancelTask(id ident.TaskID) {
	w.mu.Lock()
	t, ok := w.tasks[id]
	w.mu.Unlock()
	if ok {
		t.cancel()
		w.endTask(t)
	}
}

func (w *Worker) checkpoint(rw http.ResponseWriter, r *http.Request) {
	if err := w.stopTask(rw, r); err != nil {
		httpjson.WriteError(rw, err)
		return
	}
	httpjson.WriteJSON(rw, workerhttp.CheckpointReply{Checkpoint: []byte("checkpoint")})
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	var call workerhttp.TaskRequest
	err := httpjson.ReadJSON(rw, r, &call)
	var id ident.TaskID
	if err == nil {
		id, err = call.TaskID()
	}
	if err == nil {
		w.applyLimit(id, call.Limit)
	}
	writeDone(rw, err)
}

func (w *Worker) expireLoop() {
	defer w.running.Done()
	ticker := time.NewTicker(leaseCheckInterval)
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

func (w *Worker) expire(now time.Time) {
	w.decisionMu.Lock()
	defer w.decisionMu.Unlock()
	for _, id := range w.state().ExpireTasks(now) {
		w.cancelTask(id)
	}
}
