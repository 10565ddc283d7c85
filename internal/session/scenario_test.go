package session

import (
	"fmt"
	"testing"
	"time"

	"skylarkstall/examples"
	"skylarkstall/internal/standin/store"
)

// startupTime is the time that a cell has to start. It is not a multiple of one second, so that no action of a scenario
// coincides with a heartbeat.
const startupTime = 3137 * time.Millisecond

// TestShift covers normal operation: requests of two teams, sent through every process.
func TestShift(t *testing.T) {
	runScenario(t, 3, 6, func(s *scenario) {
		time.Sleep(startupTime)
		s.request("entry-1", "vembanad", "proof", "proof-1", 200*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		s.request("entry-2", "goldfields", "quote", "quote-1", 150*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		s.request("entry-3", "vembanad", "proof", "proof-2", 200*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// TestTakeover guards against a second run of a task whose worker's owner dies while the task is running: the home of
// the request must find the attempt at the worker's next owner.
func TestTakeover(t *testing.T) {
	runScenario(t, 3, 6, func(s *scenario) {
		time.Sleep(startupTime)
		s.request("entry-1", "vembanad", "proof", "long-1", 7*time.Second)
		s.request("entry-2", "vembanad", "proof", "long-2", 7*time.Second)
		time.Sleep(time.Second)
		s.kill("entry-3")
		time.Sleep(10 * time.Second)
	})
}

// TestStoreOutageAcrossChange verifies that repeatable requests are served and active documents stay active while the
// store is unavailable, and that a document change made after the outage takes effect.
func TestStoreOutageAcrossChange(t *testing.T) {
	runScenario(t, 3, 3, func(s *scenario) {
		time.Sleep(startupTime)
		s.note("the store goes down")
		s.store.SetFaults(store.Faults{Unavailable: true})
		s.request("entry-2", "vembanad", "proof", "during", 100*time.Millisecond)
		time.Sleep(5 * time.Second)
		s.note("the store is back; a document is changed")
		s.store.SetFaults(store.Faults{})
		s.putDocument("vembanad", append(examples.Vembanad, "# changed\n"...), 1)
		time.Sleep(3 * time.Second)
		s.request("entry-3", "vembanad", "proof", "after", 100*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// TestZoneLoss verifies recovery from the loss of an availability zone, which takes a third of the processes and workers
// at once. Requests in other zones continue; a request whose worker is lost is started again once its attempt has
// certainly ended.
func TestZoneLoss(t *testing.T) {
	runScenario(t, 6, 6, func(s *scenario) {
		time.Sleep(startupTime)
		for i := range 6 {
			s.request("entry-1", "vembanad", "proof-sheet", fmt.Sprintf("check-%d", i), 5*time.Second)
			time.Sleep(70 * time.Millisecond)
		}
		time.Sleep(time.Second)
		s.note("alappuzha is lost")
		for _, id := range []string{"worker-3", "worker-6"} {
			s.workersByID[id].Kill()
		}
		s.kill("entry-3")
		s.kill("entry-6")
		time.Sleep(45 * time.Second)
	})
}

// TestGangsContend guards against a deadlock of two gangs that each hold capacity that the other one needs. Each needs
// more than half of the cell, so they have to run one after the other, and all tasks of a gang start together.
func TestGangsContend(t *testing.T) {
	runScenario(t, 3, 3, func(s *scenario) {
		time.Sleep(startupTime)
		s.submit("entry-1", "vembanad", "press-run", "gang-a", 16, 3*time.Second)
		time.Sleep(50 * time.Millisecond)
		s.submit("entry-2", "goldfields", "matched-pair", "gang-b", 16, 3*time.Second)
		time.Sleep(10 * time.Second)
	})
}
