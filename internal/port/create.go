package port

import (
	"context"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/workflow"
	"skylarkstall/internal/fault"
)

// refusedMeanwhile is when a caller should return whose id was refused while its request was in progress.
const refusedMeanwhile = time.Second

// CreateJob stores a job if its id is not stored yet. It returns what the store holds, which differs from the job if the id was
// stored before. It fails with QuotaExceeded if the id was refused since the caller's request arrived; the job is not stored then.
func CreateJob(ctx context.Context, store TxnStore, codec RecordCodec, job AcceptedJob) (StoredJob, error) {
	key, finishedKey := JobPrefix+string(job.Spec.ID), FinishedPrefix+string(job.Spec.ID)
	txn := Txn{
		If: []Condition{{Key: key}, {Key: finishedKey}}, Writes: []Write{{Key: key, Value: codec.EncodeJob(job)}},
	}
	if job.MayBeRefused() {
		txn.If = append(txn.If, Condition{Key: RefusedPrefix + string(job.Spec.ID), Revision: job.KnownRefusal})
	}
	result, err := store.Commit(ctx, txn)
	if err == nil {
		return StoredJob{AcceptedJob: job, Revision: result.Revision}, nil
	}
	if !fault.Is(err, fault.Conflict) {
		return StoredJob{}, err
	}
	for _, entry := range result.Current {
		if entry.Key == finishedKey {
			finished, err := codec.DecodeFinished(entry.Value)
			return StoredJob{Finished: &finished}, err
		}
	}
	for _, entry := range result.Current {
		if entry.Key == key {
			stored, err := codec.DecodeJob(entry.Value)
			return StoredJob{AcceptedJob: stored, Revision: entry.Revision}, err
		}
	}
	if len(result.Current) == 0 && job.KnownRefusal == 0 {
		return StoredJob{}, fault.WrapAs(fault.StoreUnavailable, err, "the store names no entry in conflict")
	}
	if job.MayBeRefused() {
		err = fault.WithRetryAfter(fault.WrapAs(fault.QuotaExceeded, err, "the id was refused meanwhile"), refusedMeanwhile)
	}
	return StoredJob{}, err
}

// refusalTTL is how long the record of a refusal lasts at least. No write to the store takes effect so late.
const refusalTTL = 30 * time.Second

// RefusalRecorder records refusals of ids. It is safe for concurrent use.
type RefusalRecorder struct {
	store TxnStore

	mu      sync.Mutex
	lease   LeaseID   // of the records; 0 if there is none
	granted time.Time // when the lease was requested
}

// NewRefusalRecorder returns a recorder that uses the store on the first refusal.
func NewRefusalRecorder(store TxnStore) *RefusalRecorder { return &RefusalRecorder{store: store} }

// Record records that an id is refused, so that no write of the job that is still on its way takes effect. It returns false if the id is
// stored already, and the refusal is not recorded. If it fails, the refusal may be recorded or not.
func (r *RefusalRecorder) Record(ctx context.Context, id workflow.ID, now time.Time) (bool, error) {
	lease, err := r.currentLease(ctx, now)
	if err != nil {
		return false, err
	}
	_, err = r.store.Commit(ctx, Txn{
		If:     []Condition{{Key: JobPrefix + string(id)}, {Key: FinishedPrefix + string(id)}},
		Writes: []Write{{Key: RefusedPrefix + string(id), Value: []byte("1"), Lease: lease}},
	})
	switch {
	case fault.Is(err, fault.Conflict):
		return false, nil
	case fault.Is(err, fault.NotFound):
		r.dropLease(lease)
	}
	return err == nil, err
}

// currentLease returns a lease that lasts for refusalTTL or longer.
func (r *RefusalRecorder) currentLease(ctx context.Context, now time.Time) (LeaseID, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease != 0 && now.Sub(r.granted) < refusalTTL {
		return r.lease, nil
	}
	lease, err := r.store.Grant(ctx, 2*refusalTTL)
	if err != nil {
		return 0, err
	}
	r.lease, r.granted = lease, now
	return lease, nil
}

// dropLease ends the use of a lease that has expired.
func (r *RefusalRecorder) dropLease(lease LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = 0
	}
}

// KnownRefusal returns the revision of the record of the latest refusal of an id, or 0 if there is none.
func KnownRefusal(ctx context.Context, store TxnStore, id workflow.ID) (ident.Revision, error) {
	entry, err := store.Get(ctx, RefusedPrefix+string(id))
	if fault.Is(err, fault.NotFound) {
		return 0, nil
	}
	return entry.Revision, err
}
