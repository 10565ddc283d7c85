package scheduler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// recordStore is a store that holds the record of a job and, if set, one of workers, and in which nothing changes.
type recordStore struct {
	port.TxnStore
	workers bool
}

func (r recordStore) Get(_ context.Context, key string) (port.Entry, error) {
	if key == port.WorkersKey && r.workers {
		return port.Entry{Key: key, Revision: 3}, nil
	}
	return port.Entry{}, fault.New(fault.NotFound, "no such key")
}

func (recordStore) ListPage(_ context.Context, prefix, _ string) (port.Page, error) {
	page := port.Page{AsOf: 5}
	if prefix == port.JobPrefix {
		page.Entries = []port.Entry{{Key: prefix + "job", Value: []byte("x"), Revision: 4}}
	}
	return page, nil
}

func (recordStore) List(context.Context, string) ([]port.Entry, ident.Revision, error) {
	return nil, 5, nil
}

func (recordStore) Watch(
	ctx context.Context, _ string, _ ident.Revision, wait time.Duration,
) ([]port.Entry, ident.Revision, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, 5, ctx.Err()
}

func (recordStore) Commit(context.Context, port.Txn) (port.CommitResult, error) {
	return port.CommitResult{Revision: 6}, nil
}

// TestPanicAtStartOfTerm guards against a record at which every process of the cell ends in turn: each one takes over, reads the
// record, panics outside of any task of the term, and ends with all connections of its callers.
func TestPanicAtStartOfTerm(t *testing.T) {
	s := newLeaderFor(t)
	s.ports.Store, s.ports.RecordCodec = recordStore{}, panickingCodec{}
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		if !s.Run(t.Context()) {
			t.Error("the process does not let others lead after a panic")
		}
	}()
	select {
	case value := <-ended:
		if value != nil {
			t.Errorf("the panic %q leaves the term and ends the process", value)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the term goes on after a panic")
	}
}

// recordCodec decodes the records of recordStore: a job of one task, which the queue q sent to the service old when it was accepted,
// and the worker w1.
type recordCodec struct {
	port.RecordCodec
	size resource.Vector // of the task
}

func (c recordCodec) DecodeJob([]byte) (port.AcceptedJob, error) {
	return port.AcceptedJob{
		Spec:       workflow.Spec{ID: "job", Steps: []workflow.Step{{Count: 1, Size: c.size}}},
		AcceptedAt: time.Now(), Queue: route.Queue{Name: "q", Service: "old", MaxAttempts: 3},
	}, nil
}

func (recordCodec) DecodeWorkers([]byte, ident.Revision) ([]port.WorkerRecord, error) {
	return []port.WorkerRecord{{WorkerInfo: pool.WorkerInfo{ID: "w1", Address: "w1", Service: "old", Incarnation: 1}}}, nil
}

func (recordCodec) EncodeWorkers([]port.WorkerRecord) []byte { return nil }

// idleRunner is the client of workers that refuse to run anything, and counts the starts on each.
type idleRunner struct {
	port.RunClient
	mu       sync.Mutex
	starts   map[ident.WorkerID]int
	restarts int64 // of every worker
}

func (r *idleRunner) Sync(ctx context.Context, _ port.Target, request port.SyncRequest) (port.SyncReply, error) {
	select {
	case <-time.After(max(request.Wait, time.Millisecond)):
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return port.SyncReply{WorkerClock: time.Minute, Incarnation: 1 + r.restarts}, ctx.Err()
}

// restart restarts every worker.
func (r *idleRunner) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts++
}

func (r *idleRunner) Start(_ context.Context, to port.Target, _ port.StartRequest) (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[to.Worker]++
	return 0, fault.New(fault.NoCapacity, "no task runs here")
}

func (r *idleRunner) startsOn(worker ident.WorkerID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[worker]
}

// workerList is a list of workers that can be changed. While it is nil, the list cannot be read.
type workerList struct {
	mu      sync.Mutex
	workers []pool.WorkerInfo
	read    time.Time // when it was last read
}

func (l *workerList) Workers(context.Context) ([]pool.WorkerInfo, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read = time.Now()
	if l.workers == nil {
		return nil, fault.New(fault.Unavailable, "the store is slow")
	}
	return l.workers, nil
}

func (l *workerList) set(workers ...pool.WorkerInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = workers
}

func listedWorker(id ident.WorkerID, service string) pool.WorkerInfo {
	return pool.WorkerInfo{
		ID: id, Address: string(id), Service: service, Incarnation: 1, Capacity: resource.Vector{MilliCores: 4000, MemoryBytes: 8 << 30},
	}
}

// runTerm runs a term over the records of recordStore until the test ends. It must be called in a bubble of synctest.
func runTerm(t *testing.T, size resource.Vector, list *workerList) (*Scheduler, *idleRunner) {
	t.Helper()
	s, runner := newLeaderFor(t), &idleRunner{starts: map[ident.WorkerID]int{}}
	s.ports = Ports{Store: recordStore{workers: true}, RecordCodec: recordCodec{size: size}, RunClient: runner, Workers: list}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return s, runner
}

// TestRunWithoutConfiguration guards against a restarted process that leads before it has read the configuration, and sends a task
// where its queue sent tasks when the job was accepted: the operator has changed the route since.
func TestRunWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &workerList{}
		list.set(listedWorker("w1", "old"), listedWorker("w2", "new"))
		s, runner := runTerm(t, resource.Vector{MilliCores: 1000}, list)
		time.Sleep(2 * time.Second)
		if n := runner.startsOn("w1"); n > 0 {
			t.Errorf("%d starts on the service of a former configuration", n)
		}
		s.table.Apply(route.Config{Version: 9, Queues: []route.Queue{{Name: "q", Service: "new", MaxAttempts: 3}}})
		time.Sleep(2 * time.Second)
		if former, present := runner.startsOn("w1"), runner.startsOn("w2"); former > 0 || present == 0 {
			t.Errorf("%d starts on the former service, %d on the present one; want only these", former, present)
		}
	})
}

// TestWorkerNotListed guards against a worker that has left and is used again by a new leader, which knows it only from the record of
// workers and has not read the worker list: a task that needs no capacity fits on it.
func TestWorkerNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &workerList{}
		s, runner := runTerm(t, resource.Vector{}, list)
		s.table.Apply(route.Config{Version: 9, Queues: []route.Queue{{Name: "q", Service: "old", MaxAttempts: 3}}})
		time.Sleep(2 * time.Second)
		list.set(listedWorker("w2", "old"))
		time.Sleep(4 * time.Second)
		if left, listed := runner.startsOn("w1"), runner.startsOn("w2"); left > 0 || listed == 0 {
			t.Errorf("%d starts on the worker that has left, %d on the listed one; want only these", left, listed)
		}
	})
}

// TestListIsReadAfterRestart guards against a restarted worker that stands idle until the worker list happens to be read: only the list
// tells of which kind it is now.
func TestListIsReadAfterRestart(t *testing.T) {
	for _, age := range []time.Duration{100, 200, 300, 400} { // ms; the list is read every 500 ms
		synctest.Test(t, func(t *testing.T) {
			list := &workerList{}
			list.set(listedWorker("w1", "old"))
			s, runner := runTerm(t, resource.Vector{MilliCores: 8000}, list)
			time.Sleep(3*time.Second + age*time.Millisecond)
			runner.restart()
			noticed := func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.monitors["w1"].worker.Info().Incarnation == 2
			}
			for !noticed() {
				time.Sleep(time.Millisecond)
			}
			at := time.Now()
			time.Sleep(recordDelay + 10*time.Millisecond)
			list.mu.Lock()
			defer list.mu.Unlock()
			if list.read.Before(at) {
				t.Errorf("the list was last read %v before the restart was noticed", at.Sub(list.read))
			}
		})
	}
}
