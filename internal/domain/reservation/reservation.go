// Package reservation keeps the capacity that an owner reserves for gangs until their homes start them. Reservations
// expire, so that a home that failed does not hold capacity for long.
package reservation

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// TTL is how long a reservation is valid. The home starts the gang within this time or reserves again.
const TTL = 2 * time.Second

// Reservation is the capacity reserved for one task of a gang.
type Reservation struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Expires time.Time
}

// Table is the aggregate of one owner's reservations. It records which capacity is reserved for which task; the
// worker's aggregate accounts for the capacity itself, and the caller returns it there for every reservation that is
// released or expires.
type Table struct {
	mu     sync.Mutex
	byGang map[ident.WorkID]map[ident.TaskID]Reservation
}

// NewTable returns a table without reservations.
func NewTable() *Table {
	return &Table{byGang: map[ident.WorkID]map[ident.TaskID]Reservation{}}
}

// Add records a reservation. It fails with Conflict when the task already has one.
func (t *Table) Add(r Reservation) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	reservations := t.byGang[r.Task.Work]
	if old, ok := reservations[r.Task]; ok {
		return fault.New(fault.Conflict, "%s already has a reservation, for attempt %d", r.Task, old.Attempt)
	}
	if reservations == nil {
		reservations = map[ident.TaskID]Reservation{}
		t.byGang[r.Task.Work] = reservations
	}
	reservations[r.Task] = r
	return nil
}

// Consume removes and returns the reservation of a task that is started now; its capacity stays in use. It fails with
// NoCapacity when the attempt has no reservation or it has expired.
func (t *Table) Consume(now time.Time, task ident.TaskID, attempt ident.Attempt) (Reservation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byGang[task.Work][task]
	if !ok || r.Attempt != attempt || !now.Before(r.Expires) {
		return Reservation{}, fault.New(fault.NoCapacity, "no valid reservation for attempt %d of %s", attempt, task)
	}
	t.remove(r)
	return r, nil
}

// Release removes and returns the reservations of a gang up to the given attempt.
func (t *Table) Release(gang ident.WorkID, upTo ident.Attempt) []Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var released []Reservation
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
func (t *Table) Expire(now time.Time) (expired []Reservation, next time.Time) {
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

func (t *Table) remove(r Reservation) {
	reservations := t.byGang[r.Task.Work]
	delete(reservations, r.Task)
	if len(reservations) == 0 {
		delete(t.byGang, r.Task.Work)
	}
}

// Len returns the number of reservations.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, reservations := range t.byGang {
		n += len(reservations)
	}
	return n
}
