// Package reservation keeps the capacity that an owner reserves for gangs until their homes start them. Reservations
// expire, so that a home that died does not hold capacity for long.
package reservation

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// Expiry is how long a reservation is valid. The home starts the gang within this time or reserves again.
const Expiry = 2 * time.Second

// Hold is the capacity reserved for one task of a gang.
type Hold struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Expires time.Time
}

// Book is the aggregate of one owner's reservations. It records which capacity is reserved for which task; the worker's
// aggregate accounts for the capacity itself, and the caller returns it there for every reservation that is released or
// expires.
type Book struct {
	mu     sync.Mutex
	byGang map[ident.WorkID]map[ident.TaskID]Hold
}

// NewBook returns a table without reservations.
func NewBook() *Book {
	return &Book{byGang: map[ident.WorkID]map[ident.TaskID]Hold{}}
}

// Add records a reservation. It fails with Conflict when the task already has one.
func (t *Book) Add(r Hold) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	reservations := t.byGang[r.Task.Work]
	if old, ok := reservations[r.Task]; ok {
		return fault.New(fault.Conflict, "%s already has a reservation, for attempt %d", r.Task, old.Attempt)
	}
	if reservations == nil {
		reservations = map[ident.TaskID]Hold{}
		t.byGang[r.Task.Work] = reservations
	}
	reservations[r.Task] = r
	return nil
}

// Use removes and returns the reservation of a task that is started now; its capacity stays in use. It fails with
// NoCapacity when the attempt has no reservation or it has expired.
func (t *Book) Use(now time.Time, task ident.TaskID, attempt ident.Attempt) (Hold, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byGang[task.Work][task]
	if !ok || r.Attempt != attempt || !now.Before(r.Expires) {
		return Hold{}, fault.New(fault.NoCapacity, "no valid reservation for attempt %d of %s", attempt, task)
	}
	t.remove(r)
	return r, nil
}

// Release removes and returns the reservations of a gang up to the given attempt.
func (t *Book) Release(gang ident.WorkID, upTo ident.Attempt) []Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var released []Hold
	for _, r := range t.byGang[gang] {
		if r.Attempt <= upTo {
			released = append(released, r)
		}
	}
	for _, r := range released {
		t.remove(r)
	}
	return released
}

// Expire removes and returns the expired reservations. It also returns when the next one expires; zero if none is left.
func (t *Book) Expire(now time.Time) (expired []Hold, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reservations := range t.byGang {
		for _, r := range reservations {
			switch {
			case !now.Before(r.Expires):
				expired = append(expired, r)
			case next.IsZero() || r.Expires.Before(next):
				next = r.Expires
			}
		}
	}
	for _, r := range expired {
		t.remove(r)
	}
	return expired, next
}

func (t *Book) remove(r Hold) {
	reservations := t.byGang[r.Task.Work]
	delete(reservations, r.Task)
	if len(reservations) == 0 {
		delete(t.byGang, r.Task.Work)
	}
}

// Len returns the number of reservations.
func (t *Book) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, reservations := range t.byGang {
		n += len(reservations)
	}
	return n
}
