// Package reservation keeps the room that an owner holds for gangs until their homes start them. A reservation
// expires, so that a home that died holds no room for long.
package reservation

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// TTL is how long a reservation holds its room. The home starts the gang within it or begins anew.
const TTL = 2 * time.Second

// Reservation is the room of one task of a gang.
type Reservation struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Expires time.Time
}

// Table is the aggregate of one owner's reservations. It keeps which room is held for which task; the capacity itself is
// counted by the worker's aggregate and returned there for every hold that the book gives up.
type Table struct {
	mu    sync.Mutex
	gangs map[ident.WorkID]map[ident.TaskID]Reservation
}

// NewTable returns a book without reservations.
func NewTable() *Table {
	return &Table{gangs: map[ident.WorkID]map[ident.TaskID]Reservation{}}
}

// Add notes room for a task. It fails with Conflict when room is held for the task already.
func (b *Table) Add(hold Reservation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	holds := b.gangs[hold.Task.Work]
	if old, ok := holds[hold.Task]; ok {
		return fault.New(fault.Conflict, "room for %s is held with attempt %d", hold.Task, old.Attempt)
	}
	if holds == nil {
		holds = map[ident.TaskID]Reservation{}
		b.gangs[hold.Task.Work] = holds
	}
	holds[hold.Task] = hold
	return nil
}

// Consume takes the hold of a task that is started now; its room stays taken. It fails with NoCapacity when no room is held
// for the attempt, or the reservation has expired.
func (b *Table) Consume(now time.Time, task ident.TaskID, attempt ident.Attempt) (Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hold, ok := b.gangs[task.Work][task]
	if !ok || hold.Attempt != attempt || !now.Before(hold.Expires) {
		return Reservation{}, fault.New(fault.NoCapacity, "the reservation for attempt %d of %s has expired", attempt, task)
	}
	b.remove(hold)
	return hold, nil
}

// Release gives up what is held for a gang up to the attempt, and returns the holds whose room is free again.
func (b *Table) Release(gang ident.WorkID, upTo ident.Attempt) []Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var released []Reservation
	for _, hold := range b.gangs[gang] {
		if hold.Attempt <= upTo {
			released = append(released, hold)
		}
	}
	for _, hold := range released {
		b.remove(hold)
	}
	return released
}

// Expire gives up what has expired and returns the holds whose room is free again, and when the next one expires;
// zero if none is left.
func (b *Table) Expire(now time.Time) (expired []Reservation, next time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, holds := range b.gangs {
		for _, hold := range holds {
			switch {
			case !now.Before(hold.Expires):
				expired = append(expired, hold)
			case next.IsZero() || hold.Expires.Before(next):
				next = hold.Expires
			}
		}
	}
	for _, hold := range expired {
		b.remove(hold)
	}
	return expired, next
}

func (b *Table) remove(hold Reservation) {
	holds := b.gangs[hold.Task.Work]
	delete(holds, hold.Task)
	if len(holds) == 0 {
		delete(b.gangs, hold.Task.Work)
	}
}

// Len returns the number of tasks for which room is held.
func (b *Table) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, holds := range b.gangs {
		n += len(holds)
	}
	return n
}
