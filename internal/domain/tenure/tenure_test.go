package tenure_test

import (
	"testing"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/tenure"
)

// TestAdoptKeepsLatestAttempt guards against an attempt that a new home is not told of, because the owner found an earlier
// attempt of the same task, whose outcome was not acknowledged yet, in the inventory of another worker.
func TestAdoptKeepsLatestAttempt(t *testing.T) {
	task := ident.TaskID{Work: ident.WorkID{Team: "vembanad", Request: "batch"}, Index: 1}
	for _, order := range [][]ident.Attempt{{1, 2}, {2, 1}} {
		held := tenure.New()
		for _, attempt := range order {
			held.Adopt(task, attempt, ident.WorkerID([]string{"", "worker-01", "worker-02"}[attempt]))
		}
		held.MarkEnded(task, 1)
		_, tasks := held.TakeHome(task.Work.Partition(), ident.HomeEpoch{Counter: 1, Process: "entry-1"})
		if len(tasks) != 1 || tasks[0].Attempt != 2 || tasks[0].Worker != "worker-02" || tasks[0].Ended {
			t.Errorf("adopted in the order %v: held %+v, want the running attempt 2 on worker-02", order, tasks)
		}
	}
}
