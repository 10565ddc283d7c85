package cellwire_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"skylarkstall/internal/adapter/cellwire"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

// TestJobRecord guards against a field of a job that is lost when the next leader reads the record.
func TestJobRecord(t *testing.T) {
	job := port.AcceptedJob{
		AcceptedAt: time.UnixMilli(1_700_000_000_123),
		Queue: route.Queue{
			Name: "q", Host: "h", Prefix: "/q/", Service: "desk", Priority: 2, MaxAttempts: 3,
			PermitPolicy: &route.PermitPolicy{
				CallLatency: 370 * time.Millisecond, WorkerLatency: 5300 * time.Microsecond, TicketTTL: 2 * time.Second,
			},
		},
		Spec: workflow.Spec{
			ID: "5c0e7a21d94b36f8", Queue: "q", Payload: "p", Occurrences: 3, FirstAt: time.UnixMilli(1_700_000_001_000),
			Period: time.Minute,
			Steps: []workflow.Step{{Count: 1}, {
				Count: 4, Size: resource.Vector{MilliCores: 500, MemoryBytes: 1 << 30, Accelerators: 1}, Estimate: time.Second,
				DependsOn: []int{0}, Gang: true, SameRack: true, Checkpointing: true, Speculative: true, LongRunning: true,
				BestEffort: true, RequiredLabel: "a", DataRack: "r1-2", MaxPerWorker: 2, Image: "i",
				LatencyTarget: 50 * time.Millisecond, MaxUnavailable: 1,
			}},
		},
	}
	got, err := cellwire.RecordCodec{}.DecodeJob(cellwire.RecordCodec{}.EncodeJob(job))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(job, got); diff != "" {
		t.Error(diff)
	}
}

// TestProgressRecord guards against progress of a job that is lost when the next leader reads the record.
func TestProgressRecord(t *testing.T) {
	progress := workflow.Progress{State: workflow.Running, Steps: []workflow.StepProgress{{
		Occurrence: 1, Step: 2, Failed: []workflow.RunNumber{1, 1001},
		Tasks: []workflow.TaskProgress{
			{Index: 3, Done: true},
			{
				Index: 4, Failed: []workflow.RunNumber{2}, Crashed: []workflow.RunNumber{3}, InDoubt: []workflow.RunNumber{4, 5},
				Checkpoint: "c",
			},
		},
	}}}
	got, err := cellwire.RecordCodec{}.DecodeProgress(cellwire.RecordCodec{}.EncodeProgress(progress))
	if diff := cmp.Diff(progress, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestWorkersRecord guards against a cordoned worker that the next leader reads as schedulable or with a wrong revision. A
// worker without a revision was cordoned at the revision of the record itself.
func TestWorkersRecord(t *testing.T) {
	workers := []port.WorkerRecord{
		{WorkerInfo: pool.WorkerInfo{ID: "a", Address: "h:1", Service: "desk", Incarnation: 7}, Fenced: true},
		{WorkerInfo: pool.WorkerInfo{ID: "b", Address: "h:2", Service: "desk", Incarnation: 8}, Cordoned: true},
		{WorkerInfo: pool.WorkerInfo{ID: "c", Address: "h:3", Service: "desk", Incarnation: 9}, Cordoned: true, CordonedAt: 40},
	}
	got, err := cellwire.RecordCodec{}.DecodeWorkers(cellwire.RecordCodec{}.EncodeWorkers(workers), 50)
	workers[1].CordonedAt = 50
	if diff := cmp.Diff(workers, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestMalformedRecords guards against malformed records being decoded without an error.
func TestMalformedRecords(t *testing.T) {
	raw := []byte{0xff, 0xff, 0xff}
	if _, err := (cellwire.RecordCodec{}).DecodeJob(raw); err == nil {
		t.Error("a malformed job record is decoded without an error")
	}
	if _, err := (cellwire.RecordCodec{}).DecodeProgress(raw); err == nil {
		t.Error("a malformed progress record is decoded without an error")
	}
	if _, err := (cellwire.RecordCodec{}).DecodeLeader(raw); err == nil {
		t.Error("a malformed leader record is decoded without an error")
	}
}

// TestFinishedRecord guards against the result of a job that is lost once the job is archived.
func TestFinishedRecord(t *testing.T) {
	codec := cellwire.RecordCodec{}
	want := port.FinishedJob{Queue: route.QueueRef{Name: "q", Host: "h", Prefix: "/q/"}, State: workflow.FailedState}
	if got, err := codec.DecodeFinished(codec.EncodeFinished(want)); err != nil || got != want {
		t.Errorf("decoded %v, error %v; want %v", got, err, want)
	}
	if _, err := codec.DecodeFinished(codec.EncodeFinished(port.FinishedJob{Queue: want.Queue, State: workflow.Running})); err == nil {
		t.Error("the state running is accepted as final")
	}
}

// TestAccountOfRecords guards against a job that belongs to nobody once it is stored or archived, and against records of versions without
// accounts that no caller can reach any more.
func TestAccountOfRecords(t *testing.T) {
	codec := cellwire.RecordCodec{}
	spec := workflow.Spec{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}}
	for _, owner := range []account.ID{"a", ""} {
		job, err := codec.DecodeJob(codec.EncodeJob(port.AcceptedJob{Spec: spec, Queue: route.Queue{Name: "q"}, Account: owner, AcceptedAt: time.UnixMilli(1)}))
		if err != nil || job.Account != owner {
			t.Errorf("the job of account %q is decoded as one of %q, error %v", owner, job.Account, err)
		}
		finished, err := codec.DecodeFinished(codec.EncodeFinished(port.FinishedJob{Account: owner, State: workflow.Completed}))
		if err != nil || finished.Account != owner {
			t.Errorf("the archived job of account %q is decoded as one of %q, error %v", owner, finished.Account, err)
		}
	}
	// A record of bba9e44, which knows no accounts: field 1, the queue "q", and field 2, the state.
	finished, err := codec.DecodeFinished([]byte{0x0a, 1, 'q', 0x10, byte(workflow.Completed)})
	ref := port.JobRef{Queue: route.QueueRef{Name: "q"}, Account: "a", ID: "j"}
	if err != nil || !ref.Reaches(finished.Queue, finished.Account) {
		t.Errorf("an archived job of an earlier version is out of reach: %+v, error %v", finished, err)
	}
}
