package cellwire_test

import (
	"math"
	"testing"
	"time"

	"skylarkstall/internal/adapter/cellwire"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/port"
)

func fuzzSpec() workflow.Spec {
	return workflow.Spec{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 2}, {Count: 3, Gang: true, DependsOn: []int{0}}}}
}

// FuzzJobRecord checks that a record of a job is refused as malformed or describes a job that can be scheduled: a leader
// that crashed on it would be followed by others that crash on it.
func FuzzJobRecord(f *testing.F) {
	codec := cellwire.RecordCodec{}
	f.Add(codec.EncodeJob(port.AcceptedJob{Spec: fuzzSpec(), AcceptedAt: time.UnixMilli(1)}))
	f.Add(codec.EncodeJob(port.AcceptedJob{Spec: workflow.Spec{ID: "j", Occurrences: math.MaxInt32}}))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		job, err := codec.DecodeJob(raw)
		if err != nil {
			return
		}
		w := workflow.New(job.Spec)
		for _, ref := range w.Ready(time.UnixMilli(1 << 40)) {
			w.Waiting(ref)
		}
	})
}

// FuzzProgressRecord checks that no record of progress crashes the leader that applies it to a job.
func FuzzProgressRecord(f *testing.F) {
	codec := cellwire.RecordCodec{}
	f.Add(codec.EncodeProgress(workflow.Progress{State: workflow.Running, Steps: []workflow.StepProgress{
		{Step: 1, Failed: []workflow.RunNumber{3}, Tasks: []workflow.TaskProgress{{Index: 1, Done: true, Checkpoint: "c"}}},
	}}))
	f.Add(codec.EncodeProgress(workflow.Progress{Steps: []workflow.StepProgress{{Occurrence: -1, Step: -1}}}))
	f.Add(codec.EncodeProgress(workflow.Progress{Steps: []workflow.StepProgress{{Tasks: []workflow.TaskProgress{{Index: -1}}}}}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		p, err := codec.DecodeProgress(raw)
		if err != nil {
			return
		}
		w := workflow.New(fuzzSpec())
		w.Restore(p)
		_, _ = w.State().String(), w.Progress()
		w.Ready(time.UnixMilli(1 << 40))
	})
}

// FuzzOtherRecords checks that no record of the leader or of the workers crashes a process.
func FuzzOtherRecords(f *testing.F) {
	codec := cellwire.RecordCodec{}
	f.Add(codec.EncodeLeader(port.Leader{Process: "a", Term: 3}))
	f.Add(codec.EncodeWorkers([]port.WorkerRecord{{Cordoned: true, CordonedAt: ident.Revision(4)}}))
	f.Add(codec.EncodeFinished(port.FinishedJob{Queue: route.QueueRef{Name: "q"}, State: workflow.FailedState}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = codec.DecodeFinished(raw)
		_, _ = codec.DecodeLeader(raw)
		_, _ = codec.DecodeWorkers(raw, 7)
	})
}
