//go:build ignore

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["6"] = cutWorkers }

// Parameters of the case: 4 of 20 workers are cut off at a time, the share that the pages set for srv_cut (.2), each for less than its
// for_s (5 s).
const (
	cutOffWorkers = 20
	cutCount      = 4
	cutGap        = 500 * time.Millisecond // between the cuts of a round
	cutLength     = 4 * time.Second        // of each cut
	submitAfter   = 300 * time.Millisecond // after the first cut
	cutRounds     = 6                      // each with a job of its own
	copiesTasks   = 12
	copiesRunMs   = 1000
	roundPause    = 800 * time.Millisecond // before a round, at most
	roundLimit    = 5 * time.Second        // for the job of a round, after the cuts
	doneLimit     = 25 * time.Second       // for a job that took longer, after that
)

// cutWorkers cuts four workers off for some seconds, one shortly after the other, while a job comes whose step allows copies. Some of its
// tasks never run, although all workers are back.
func cutWorkers(d *deployment) (bool, error) {
	queues := []map[string]any{{"name": "quick", "prefix": "/quick/", "priority": 0, "maxAttempts": 4}}
	d.relayed = true
	if err := d.begin(cutOffWorkers, func(int) string { return "a" }, queues); err != nil {
		return false, err
	}
	for round := range cutRounds {
		path := fmt.Sprintf("/quick/00000000000000a%d", round)
		time.Sleep(time.Duration(rand.Int64N(int64(roundPause)))) // so that the rounds begin at any moment of the system's calls
		cutsEnded := make(chan struct{})
		go func() {
			defer close(cutsEnded)
			d.cutInTurn()
		}()
		time.Sleep(submitAfter)
		job := map[string]any{"spec": fmt.Sprintf(`{"runMs":%d}`, copiesRunMs), "steps": []map[string]any{
			{"count": copiesTasks, "cpu": 2000, "memMb": 1024, "estimateMs": copiesRunMs, "speculative": true},
		}}
		if err := d.submit(path, job); err != nil {
			return false, err
		}
		<-cutsEnded
		if d.completes(path, roundLimit) {
			continue
		}
		if !d.completes(path, doneLimit) {
			d.note("LOST: %s isn't completed %v after all workers are back; %d of %d tasks are done, %d run", path, roundLimit+doneLimit,
				d.doneTasks(path[len("/quick/"):]), copiesTasks, len(d.running()))
			return true, nil
		}
	}
	return false, nil
}

// cutInTurn cuts the first workers off, one after the other, each for cutLength.
func (d *deployment) cutInTurn() {
	if !d.trouble {
		return
	}
	for i := range cutCount {
		d.note("trouble: %s is cut off", d.workers[i].name)
		_ = d.relays[i].cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(cutGap)
	}
	time.Sleep(cutLength - cutCount*cutGap)
	for i := range cutCount {
		d.note("trouble: %s is reached again", d.workers[i].name)
		_ = d.relays[i].cmd.Process.Signal(syscall.SIGUSR2)
		time.Sleep(cutGap)
	}
}

// completes asks for the state of a job until it is completed, and returns false if it isn't in time.
func (d *deployment) completes(path string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if status, reply := d.call(d.entries[0], http.MethodGet, path, nil); status == http.StatusOK && reply["state"] == "completed" {
			return true
		}
	}
	return false
}

func (d *deployment) doneTasks(job string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	done := map[string]bool{}
	for _, e := range d.events {
		if e.what == "end" && e.how == "done" && e.task[:len(job)] == job {
			done[e.task] = true
		}
	}
	return len(done)
}
