package health_test

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/internal/domain/health"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

var start = time.Unix(1_700_000_000, 0)

func kind(i int) health.Kind { return health.Kind{Team: "vembanad", Name: fmt.Sprint("kind-", i)} }

func worker(i int) ident.WorkerID { return ident.WorkerID(fmt.Sprint("worker-", i)) }

func job(i int) ident.WorkID {
	return ident.WorkID{Team: "vembanad", Request: ident.RequestID(fmt.Sprint("job-", i))}
}

// TestFaultyWorkerIsNotFaultyWork guards against blaming the tasks for a faulty worker: when all jobs fail on one
// worker and succeed elsewhere, only the worker goes on probation.
func TestFaultyWorkerIsNotFaultyWork(t *testing.T) {
	h := health.New(health.DefaultSettings)
	for i := range 10 {
		h.RecordFailure(start, worker(0), kind(i%2), job(i))
		h.RecordSuccess(worker(1+i%3), kind(i%2))
	}
	if !h.OnProbation(start, worker(0)) {
		t.Error("a worker on which 10 jobs failed is not on probation")
	}
	for i := range 2 {
		if h.KindStopped(start, kind(i)) {
			t.Errorf("%v was stopped although it fails on one worker only", kind(i))
		}
	}
}

// TestFaultyWorkIsNotFaultyWorker guards against blaming workers for faulty tasks: a kind that fails on all workers is
// stopped, and no worker goes on probation, however many of its jobs failed there.
func TestFaultyWorkIsNotFaultyWorker(t *testing.T) {
	h := health.New(health.DefaultSettings)
	for i := range 12 {
		h.RecordFailure(start, worker(i%4), kind(0), job(i))
	}
	if !h.KindStopped(start, kind(0)) {
		t.Error("a kind that failed on 4 workers is not stopped")
	}
	for i := range 4 {
		if h.OnProbation(start, worker(i)) {
			t.Errorf("%s is on probation because of a single kind of task", worker(i))
		}
	}
	if err := h.AdmitKind(start, kind(0)); err != nil {
		t.Errorf("the first retry after the stop was refused: %v", err)
	}
	if err := h.AdmitKind(start.Add(time.Second), kind(0)); !fault.Is(err, fault.Impossible) {
		t.Errorf("task of a stopped kind: got %v, want Impossible", err)
	}
	h.RecordSuccess(worker(0), kind(0))
	if err := h.AdmitKind(start.Add(time.Second), kind(0)); err != nil {
		t.Errorf("task after a success was refused: %v", err)
	}
}

// TestProbesBackOff guards against a worker that fails tasks at once and therefore attracts more of them: probes must
// come at growing intervals.
func TestProbesBackOff(t *testing.T) {
	h := health.New(health.DefaultSettings)
	for i := range 3 {
		h.RecordFailure(start, worker(0), kind(i), job(i))
	}
	if !h.MayProbe(start, worker(0)) {
		t.Error("the first probe was refused")
	}
	now, probes := start, 0
	for end := start.Add(2 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if h.OnProbation(now, worker(0)) && h.MayProbe(now, worker(0)) {
			probes++
			h.RecordFailure(now, worker(0), kind(probes%5), job(10+probes))
		}
	}
	if probes > 8 {
		t.Errorf("%d probes in 2 minutes; want at most 8", probes)
	}
	h.RecordSuccess(worker(0), kind(0))
	if h.OnProbation(now, worker(0)) {
		t.Error("the worker is still on probation after a success")
	}
}

// TestFaultyWorkersDoNotStopAKind guards against stopping a kind because it ran on several faulty workers.
func TestFaultyWorkersDoNotStopAKind(t *testing.T) {
	h := health.New(health.DefaultSettings)
	for w := range 3 {
		for i := range 3 {
			h.RecordFailure(start, worker(w), kind(10*w+i), job(10*w+i))
		}
		h.RecordFailure(start, worker(w), kind(99), job(99))
	}
	for w := range 3 {
		if !h.OnProbation(start, worker(w)) {
			t.Errorf("%s is not on probation", worker(w))
		}
	}
	if h.KindStopped(start, kind(99)) {
		t.Error("a kind that failed only on workers on probation was stopped")
	}
}
