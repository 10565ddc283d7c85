package scheduler

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// finishedEntry adds a job whose final state was recorded at the given time. Of the job "running", a task still runs.
func finishedEntry(s *Scheduler, id workflow.ID, at time.Time) *jobEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.addJob(port.AcceptedJob{Spec: workflow.Spec{ID: id, Steps: []workflow.Step{{Count: 1}}}})
	if id == "running" {
		run := workflow.RunRef{Task: workflow.TaskRef{StepRef: workflow.StepRef{Job: id}}, Run: 1}
		e.workflow.Start(workflow.Placement{RunRef: run, Worker: "w1"})
	}
	e.workflow.Cancel()
	e.revision, e.storedState, e.finished, e.queue.Name = 7, workflow.Cancelled, at, "q"
	delete(s.openJobs, id)
	return e
}

type finishedCodec struct{ port.RecordCodec }

func (finishedCodec) EncodeFinished(job port.FinishedJob) []byte { return []byte(job.Queue.Name) }

func (finishedCodec) DecodeFinished(raw []byte) (port.FinishedJob, error) {
	return port.FinishedJob{Queue: route.QueueRef{Name: string(raw)}, State: workflow.Completed}, nil
}

// TestOnlySettledJobsAreArchived guards against a job whose record is deleted although writes of its progress are on their way
// or something of it runs, and against transactions that the store refuses for their size.
func TestOnlySettledJobsAreArchived(t *testing.T) {
	s := newLeader(t)
	s.ports.RecordCodec = finishedCodec{}
	now := time.Now()
	old := now.Add(-archiveDelay)
	finishedEntry(s, "early", now.Add(-archiveDelay/2))
	finishedEntry(s, "committing", old).committing = true
	finishedEntry(s, "changed", old).version = 1
	finishedEntry(s, "running", old)
	if entries, _ := s.nextArchive(now); len(entries) > 0 {
		t.Errorf("job %s is archived", entries[0].workflow.Spec().ID)
	}
	for i := range 3 * jobsPerArchive {
		finishedEntry(s, workflow.ID(rune('A'+i)), old)
	}
	entries, txn := s.nextArchive(now)
	if ops := len(txn.If) + len(txn.Writes) + len(txn.Deletes); len(entries) != jobsPerArchive || ops > port.MaxTxnOps {
		t.Errorf("%d jobs are archived by %d operations, want %d by at most %d", len(entries), ops, jobsPerArchive, port.MaxTxnOps)
	}
}

// TestArchiveWithoutResponse guards against a job that is never archived, or is forgotten, because the response to an earlier
// attempt was lost.
func TestArchiveWithoutResponse(t *testing.T) {
	s := newLeader(t)
	s.ports.RecordCodec, s.term.Revision = finishedCodec{}, 3
	gone, changed := finishedEntry(s, "gone", time.Time{}), finishedEntry(s, "changed", time.Time{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resolveArchive([]*jobEntry{gone, changed}, []port.Entry{
		{Key: port.LeaderKey, Revision: s.term.Revision}, {Key: port.ProgressPrefix + "changed", Revision: 9},
	})
	if job, ok := s.finished["gone"]; !ok || job.State != workflow.Cancelled || s.jobs["gone"] != nil {
		t.Error("the job of which the earlier attempt took effect is not archived")
	}
	if s.jobs["changed"] == nil || changed.revision != 9 || s.ctx.Err() != nil {
		t.Error("the job with another revision is not tried again with it")
	}
	s.resolveArchive([]*jobEntry{changed}, nil)
	if s.ctx.Err() == nil {
		t.Error("the term goes on although another process leads")
	}
}

// pagedStore lists keys one a page. The first calls for the second page fail, each after a while.
type pagedStore struct {
	port.TxnStore
	failures int
	calls    int
}

func (p *pagedStore) ListPage(ctx context.Context, prefix, after string) (port.Page, error) {
	p.calls++
	if after == "" {
		return port.Page{Entries: []port.Entry{{Key: prefix + "a", Value: []byte("q")}}, AsOf: 5, More: true}, nil
	}
	if p.failures > 0 {
		p.failures--
		<-ctx.Done()
		return port.Page{}, fault.WrapAs(fault.Interrupted, ctx.Err(), "page not read")
	}
	return port.Page{Entries: []port.Entry{{Key: prefix + "b", Value: []byte("q")}}, AsOf: 8}, nil
}

func (p *pagedStore) Get(ctx context.Context, _ string) (port.Entry, error) {
	<-ctx.Done()
	return port.Entry{}, fault.WrapAs(fault.Interrupted, ctx.Err(), "key not read")
}

// slowList is a worker list that takes a while to read.
type slowList struct{ reads int }

func (l *slowList) Workers(ctx context.Context) ([]pool.WorkerInfo, error) {
	if !pause.For(ctx, 4*time.Second) {
		return nil, fault.WrapAs(fault.Interrupted, ctx.Err(), "list not read")
	}
	l.reads++
	return nil, nil
}

// TestSlowWorkerList guards against a leader that never reads a list of workers for which its link takes longer than the time limit.
func TestSlowWorkerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := newLeaderFor(t), &slowList{}
		s.ports.Workers = list
		ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
		defer cancel()
		s.watchWorkers(ctx)
		if list.reads == 0 {
			t.Error("the list was not read within 20 s, although it takes 4 s")
		}
	})
}

// TestPagesAreKept guards against a reading of the store that begins again from the first page after each failure, which a slow
// link never completes.
func TestPagesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeader(t)
		store := &pagedStore{failures: 3}
		s.ports.Store, s.ports.RecordCodec = store, finishedCodec{}
		s.readHistory(s.ctx)
		if store.calls != 5 || len(s.finished) != 2 || !s.historyRead {
			t.Errorf("%d pages asked for, %d jobs, complete: %v; want 5 and 2, complete", store.calls, len(s.finished), s.historyRead)
		}
		var keys []string
		asOf, err := pageReader{s: s, prefix: "x/"}.readAll(s.ctx, func(page []port.Entry) { keys = append(keys, page[0].Key) })
		if err != nil || asOf != 5 || strings.Join(keys, " ") != "x/a x/b" {
			t.Errorf("read %v as of %d, error %v; want both keys as of the first page", keys, asOf, err)
		}
	})
}

// TestStalledLeaderGivesWay guards against a leader that stays although the store serves it no page, and against one that
// gives way while the store serves nobody.
func TestStalledLeaderGivesWay(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newLeader(t)
			s.ports.Store = &pagedStore{failures: 1000}
			s.term.Renewal = &leadership.Renewal{}
			ctx, cancel := context.WithTimeout(s.ctx, time.Minute)
			defer cancel()
			go func() {
				for renewed && pause.For(ctx, 400*time.Millisecond) {
					s.term.Renewal.Mark(time.Now())
				}
			}()
			began := time.Now()
			_, err := pageReader{s: s, prefix: port.JobPrefix, givesWay: true}.readAll(ctx, func([]port.Entry) {})
			tookPages := time.Since(began)
			_, recordErr := s.readWorkersRecord(ctx)
			tookRecord := time.Since(began) - tookPages
			gaveWay := fault.Is(err, fault.Unavailable) && fault.Is(recordErr, fault.Unavailable)
			if renewed && (!gaveWay || max(tookPages, tookRecord) > 10*time.Second) || !renewed && (gaveWay || tookPages < time.Minute) {
				t.Errorf("lease renewed: %v; pages read for %v, error %v; record for %v, error %v", renewed, tookPages, err, tookRecord, recordErr)
			}
			cancel()
		})
	}
}

// TestLateAnnouncement guards against a job that runs again because its announcement arrives after another leader has finished
// it, and before this leader has read the archive.
func TestLateAnnouncement(t *testing.T) {
	s := newLeader(t)
	job := port.AcceptedJob{Spec: workflow.Spec{ID: "j", Steps: []workflow.Step{{Count: 1}}}}
	_ = s.Notify(t.Context(), job) // never fails
	if s.jobs["j"] != nil {
		t.Error("a job is taken in before the archive has been read")
	}
	s.mu.Lock()
	s.finished["j"], s.historyRead = finishedJob{}, true
	s.mu.Unlock()
	_ = s.Notify(t.Context(), job)
	if s.jobs["j"] != nil {
		t.Error("an archived job is taken in")
	}
	job.Spec.ID = "new"
	_ = s.Notify(t.Context(), job)
	if s.jobs["new"] == nil {
		t.Error("a new job is not taken in")
	}
}

// TestArchivedJobOfReplacedQueue guards against a finished job that is out of reach because its queue has got another name since, and
// against one that is shown to the callers of another queue.
func TestArchivedJobOfReplacedQueue(t *testing.T) {
	s := newLeader(t)
	e := finishedEntry(s, "job", time.Now())
	e.queue.Host, e.queue.Prefix = "h", "/q/"
	s.mu.Lock()
	s.markArchived(e)
	s.mu.Unlock()
	for ref, want := range map[route.QueueRef]bool{
		{Name: "renamed", Host: "h", Prefix: "/q/"}:   true,
		{Name: "other", Host: "h", Prefix: "/other/"}: false,
	} {
		if state, err := s.State(t.Context(), port.JobRef{Queue: ref, ID: "job"}); (err == nil && state == workflow.Cancelled) != want {
			t.Errorf("state of the job in queue %v: %v, error %v; found: want %v", ref, state, err, want)
		}
	}
}

// TestArchivedJobOfOtherAccount guards against a job that loses its account in the archive, and is shown to other accounts or confirmed as
// cancelled to them.
func TestArchivedJobOfOtherAccount(t *testing.T) {
	s := newLeader(t)
	e := finishedEntry(s, "job", time.Now())
	e.account = "a"
	s.mu.Lock()
	s.markArchived(e)
	s.mu.Unlock()
	s.ports.Store, s.ports.RecordCodec = takenStore{}, ownedCodec{}
	for _, caller := range []account.ID{"a", "b"} {
		ref := port.JobRef{Queue: route.QueueRef{Name: "q"}, Account: caller, ID: "job"}
		_, err := s.State(t.Context(), ref)
		if fault.Is(err, fault.NotFound) != (caller == "b") {
			t.Errorf("state of the job for account %q: error %v", caller, err)
		}
		if err := s.Cancel(t.Context(), ref); fault.Is(err, fault.NotFound) != (caller == "b") {
			t.Errorf("account %q cancels the job: error %v", caller, err)
		}
		job := port.AcceptedJob{Spec: workflow.Spec{ID: "job", Steps: []workflow.Step{{Count: 1}}}, Account: caller}
		if err := s.StoreJob(t.Context(), job); fault.Is(err, fault.Conflict) != (caller == "b") {
			t.Errorf("account %q submits the id of the job: error %v", caller, err)
		}
	}
}

// ownedCodec decodes every record of a finished job as one of account "a".
type ownedCodec struct{ finishedCodec }

func (ownedCodec) EncodeJob(port.AcceptedJob) []byte { return nil }

func (ownedCodec) DecodeFinished([]byte) (port.FinishedJob, error) {
	return port.FinishedJob{Queue: route.QueueRef{Name: "q"}, Account: "a", State: workflow.Completed}, nil
}

// takenStore holds the record of an archived job under every id.
type takenStore struct{ port.TxnStore }

func (takenStore) Commit(_ context.Context, txn port.Txn) (port.CommitResult, error) {
	return port.CommitResult{Current: []port.Entry{{Key: txn.If[1].Key}}}, fault.New(fault.Conflict, "the condition is false")
}
