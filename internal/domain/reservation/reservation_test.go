package reservation_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/reservation"
	"skylarkstall/internal/fault"
)

// TestReservation guards against a reservation that is used after it expired, used twice, released by an older attempt,
// or kept forever because its home failed.
func TestReservation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gang := ident.WorkID{Team: "vembanad", Request: "press"}
	newReservation := func(index uint32, attempt ident.Attempt) reservation.Reservation {
		return reservation.Reservation{
			Task: ident.TaskID{Work: gang, Index: index}, Attempt: attempt, Expires: now.Add(reservation.TTL),
		}
	}
	table := reservation.NewTable()
	for i := uint32(1); i <= 4; i++ {
		if err := table.Add(newReservation(i, 5)); err != nil {
			t.Fatal(err)
		}
	}
	if err := table.Add(newReservation(1, 6)); !fault.Is(err, fault.Conflict) {
		t.Errorf("second reservation of a task: %v", err)
	}
	if _, err := table.Consume(now, newReservation(1, 5).Task, 4); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("use by another attempt: %v", err)
	}
	if _, err := table.Consume(now, newReservation(1, 5).Task, 5); err != nil {
		t.Errorf("use: %v", err)
	}
	if _, err := table.Consume(now, newReservation(1, 5).Task, 5); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("second use: %v", err)
	}
	if released := table.Release(gang, 4); len(released) != 0 {
		t.Errorf("an older attempt released %d reservations", len(released))
	}
	if expired, next := table.Expire(now); len(expired) != 0 || !next.Equal(now.Add(reservation.TTL)) {
		t.Errorf("expired too early: %v; next expiry %v", expired, next)
	}
	end := now.Add(reservation.TTL)
	if _, err := table.Consume(end, newReservation(2, 5).Task, 5); !fault.Is(err, fault.NoCapacity) {
		t.Errorf("use after the expiry: %v", err)
	}
	if expired, next := table.Expire(end); len(expired) != 3 || !next.IsZero() || table.Len() != 0 {
		t.Errorf("expired %d, next expiry %v, %d left", len(expired), next, table.Len())
	}
}
