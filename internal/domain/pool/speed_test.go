package pool

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/workflow"
)

// TestSpeedOfWorkers guards against urgent tasks being placed on workers on which they take several times as long,
// because only the load of the workers was compared.
func TestSpeedOfWorkers(t *testing.T) {
	capacity := resource.Vector{MilliCores: 32_000, MemoryBytes: 64 << 30}
	workers := map[string]*Worker{}
	for _, id := range []string{"slow", "usual", "fast"} {
		workers[id] = NewWorker(WorkerInfo{ID: "w", Capacity: capacity})
	}
	durations := map[string]time.Duration{"slow": 3 * time.Second, "usual": time.Second, "fast": 500 * time.Millisecond}
	for range 5 {
		var estimate DurationEstimate
		for range 3 {
			for _, id := range []string{"usual", "slow", "usual", "fast"} {
				estimate.Observe(workers[id], durations[id])
			}
		}
	}
	slow, usual, fast := workers["slow"].Speed(), workers["usual"].Speed(), workers["fast"].Speed()
	if slow > 0.6*usual || fast < 1.4*usual {
		t.Errorf("speeds %.2f, %.2f and %.2f of workers that take 3 s, 1 s and 0.5 s", slow, usual, fast)
	}
	step := workflow.Step{Size: resource.Vector{MilliCores: 4000, MemoryBytes: 1 << 30}}
	workers["usual"].add(workflow.RunRef{Run: 1}, &step)
	request := Request{Step: &step}
	if s, f := workers["usual"].Score(&request), workers["fast"].Score(&request); f >= s {
		t.Errorf("score %.2f of a worker with a run, %.2f of a fast idle one; an urgent task should get the fast one", s, f)
	}
	request.Priority = 2
	if s, f := workers["usual"].Score(&request), workers["fast"].Score(&request); f <= s {
		t.Errorf("score %.2f of a worker with a run, %.2f of a fast idle one; another task should fill up the first", s, f)
	}
}

// TestSpeedForgets guards against a worker that gets no more tasks because it was slow for a while.
func TestSpeedForgets(t *testing.T) {
	worker, other := NewWorker(WorkerInfo{ID: "a"}), NewWorker(WorkerInfo{ID: "b"})
	var estimate DurationEstimate
	for _, duration := range []time.Duration{8 * time.Second, 8 * time.Second, 8 * time.Second} {
		estimate.Observe(other, time.Second)
		estimate.Observe(worker, duration)
	}
	if worker.Speed() > 0.8 {
		t.Errorf("speed %.2f after runs that took 8 times as long", worker.Speed())
	}
	for range 10 {
		estimate.Observe(other, time.Second)
		estimate.Observe(worker, time.Second)
	}
	if worker.Speed() < 0.8 {
		t.Errorf("speed %.2f after 10 runs of ordinary duration", worker.Speed())
	}
}

// TestSpeedOfKind guards against a worker that gets urgent tasks until it has shown that it is as slow as all others of its kind.
func TestSpeedOfKind(t *testing.T) {
	var slowKind, quickKind KindSpeed
	info := WorkerInfo{Labels: []string{"r1-2", "b"}, Rack: "r1-2"}
	if got := info.Kind(); got != "b" {
		t.Fatalf("kind %q of a worker with the labels %q on the rack %q", got, info.Labels, info.Rack)
	}
	var estimate DurationEstimate
	for range 2 * minKindRuns {
		slow, quick := NewWorker(info), NewWorker(WorkerInfo{})
		slow.SetKind(&slowKind)
		quick.SetKind(&quickKind)
		estimate.Observe(quick, time.Second)
		estimate.Observe(slow, 2*time.Second)
	}
	fresh, exception := NewWorker(info), NewWorker(info)
	fresh.SetKind(&slowKind)
	exception.SetKind(&slowKind)
	if fresh.Speed() > 0.8 {
		t.Errorf("speed %.2f of a worker before its first run, of a kind that takes twice as long", fresh.Speed())
	}
	for range 10 {
		estimate.Observe(exception, estimate.Mean()/2)
	}
	if exception.Speed() < 1.2 {
		t.Errorf("speed %.2f of a worker that is quicker than its kind", exception.Speed())
	}
}
