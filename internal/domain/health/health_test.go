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

// TestFaultyWorkerIsNotFaultyWork guards against taking one for the other: when a worker fails every job and the jobs
// succeed elsewhere, only the worker is suspected.
func TestFaultyWorkerIsNotFaultyWork(t *testing.T) {
	h := health.New(health.DefaultSettings)
	for i := range 10 {
		h.RecordFailure(start, worker(0), kind(i%2), job(i))
		h.RecordSuccess(worker(1+i%3), kind(i%2))
	}
	if !h.OnProbation(start, worker(0)) {
		t.Error("a worker that failed 10 jobs is not on probation")
	}
	for i := range 2 {
		if h.KindStopped(start, kind(i)) {
			t.Errorf("%v was stopped although it fails on one worker only", kind(i))
		}
	}
}

// TestFaultyWorkIsNotFaultyWorker guards against the reverse: a kind that fails everywhere is stopped, and no worker is
// suspected, however many of its jobs failed there.
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
			t.Errorf("%s is on probation because of one kind of work", worker(i))
		}
	}
	if err := h.AdmitKind(start, kind(0)); err != nil {
		t.Errorf("the first task after the stop, which finds out whether the kind works again: %v", err)
	}
	if err := h.AdmitKind(start.Add(time.Second), kind(0)); !fault.Is(err, fault.Impossible) {
		t.Errorf("a task of a stopped kind: %v", err)
	}
	h.RecordSuccess(worker(0), kind(0))
	if err := h.AdmitKind(start.Add(time.Second), kind(0)); err != nil {
		t.Errorf("a task after a success: %v", err)
	}
}

// TestProbesBackOff guards against a worker that fails at once and so attracts work: probes come at growing intervals.
func TestProbesBackOff(t *testing.T) {
	h := health.New(health.DefaultSettings)
	for i := range 3 {
		h.RecordFailure(start, worker(0), kind(i), job(i))
	}
	if !h.MayProbe(start, worker(0)) {
		t.Error("the first probe is refused")
	}
	now, probes := start, 0
	for end := start.Add(2 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if h.OnProbation(now, worker(0)) && h.MayProbe(now, worker(0)) {
			probes++
			h.RecordFailure(now, worker(0), kind(probes%5), job(10+probes))
		}
	}
	if probes > 8 {
		t.Errorf("%d probes in 2 minutes", probes)
	}
	h.RecordSuccess(worker(0), kind(0))
	if h.OnProbation(now, worker(0)) {
		t.Error("a worker stays on probation after a success")
	}
}

// TestFaultyWorkersDoNotStopAKind guards against a kind that is stopped because it met several faulty workers.
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
		t.Error("a kind was stopped that failed on workers on probation only")
	}
}
