package session

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/examples"
	"skylarkstall/internal/standin/store"
)

// settle is how long a cell has to come up. It is no multiple of a second, so that what a session does never falls into
// the instant of a heartbeat.
const settle = 3137 * time.Millisecond

// TestShift guards the usual path: requests of two teams through every process.
func TestShift(t *testing.T) {
	run(t, 3, 6, func(s *session) {
		time.Sleep(settle)
		s.request("entry-1", "vembanad", "proof", "proof-1", 200*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		s.request("entry-2", "goldfields", "quote", "quote-1", 150*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		s.request("entry-3", "vembanad", "proof", "proof-2", 200*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// TestTakeover guards against a second run of a task whose owner died while it ran: its home must find it at the
// worker's next owner.
func TestTakeover(t *testing.T) {
	run(t, 3, 6, func(s *session) {
		time.Sleep(settle)
		s.request("entry-1", "vembanad", "proof", "long-1", 7*time.Second)
		s.request("entry-2", "vembanad", "proof", "long-2", 7*time.Second)
		time.Sleep(time.Second)
		s.kill("entry-3")
		time.Sleep(10 * time.Second)
	})
}

// TestStoreOutageAcrossChange guards repeatable requests and the documents in force while the store is down, and the
// change that waits for its return.
func TestStoreOutageAcrossChange(t *testing.T) {
	run(t, 3, 3, func(s *session) {
		time.Sleep(settle)
		s.note("the store goes down")
		s.store.SetFaults(store.Faults{Unavailable: true})
		s.request("entry-2", "vembanad", "proof", "during", 100*time.Millisecond)
		time.Sleep(5 * time.Second)
		s.note("the store is back; a document is changed")
		s.store.SetFaults(store.Faults{})
		s.document("vembanad", append(examples.Vembanad, "# changed\n"...), 1)
		time.Sleep(3 * time.Second)
		s.request("entry-3", "vembanad", "proof", "after", 100*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// TestZoneLoss guards the recovery from the loss of an availability zone: a third of the processes and workers at once.
// Requests on other zones go on; a request whose worker is gone starts again once its attempt has certainly ended.
func TestZoneLoss(t *testing.T) {
	run(t, 6, 6, func(s *session) {
		time.Sleep(settle)
		for i := range 6 {
			s.request("entry-1", "vembanad", "proof-sheet", fmt.Sprintf("check-%d", i), 5*time.Second)
			time.Sleep(70 * time.Millisecond)
		}
		time.Sleep(time.Second)
		s.note("alappuzha is lost")
		for _, id := range []string{"worker-3", "worker-6"} {
			s.byID[id].Kill()
		}
		s.kill("entry-3")
		s.kill("entry-6")
		time.Sleep(45 * time.Second)
	})
}

// TestGangsContend guards against two gangs that each hold what the other needs: each needs more than half of the
// cell, so one has to run after the other, and each starts whole.
func TestGangsContend(t *testing.T) {
	run(t, 3, 3, func(s *session) {
		time.Sleep(settle)
		s.submit("entry-1", "vembanad", "press-run", "gang-a", 16, 3*time.Second)
		time.Sleep(50 * time.Millisecond)
		s.submit("entry-2", "goldfields", "matched-pair", "gang-b", 16, 3*time.Second)
		time.Sleep(10 * time.Second)
	})
}
