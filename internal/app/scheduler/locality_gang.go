package scheduler

import (
	"time"

	"skylarkstall/internal/domain/locality"
	"skylarkstall/internal/domain/pool"
	"skylarkstall/internal/domain/workflow"
)

// tryGangApart places all tasks of a gang on any racks, unless the gang wants to run on one and waits for room there: it waits as one or
// goes apart as one. It returns nil if it waits, or if its tasks do not all fit. The lock is held.
func (s *Scheduler) tryGangApart(c candidate, run workflow.RunNumber, rack string, now time.Time) []launch {
	launches := s.tryGang(c, run, rack, now)
	step, wait := c.entry.workflow.Step(c.ref), &c.step.near
	if launches == nil || s.settings.RemoteFactor <= 1 || !step.SameRack || step.DataRack != "" || step.LongRunning || wait.elsewhere {
		return launches
	}
	slowest := launches[0].monitor.worker.Speed()
	for _, l := range launches {
		slowest = min(slowest, l.monitor.worker.Speed())
	}
	c.dropGang(launches) // the room on the racks is reckoned without its members
	if wait.isOn(now) || s.waitsForAnyRack(&c, slowest, now) {
		return nil
	}
	return s.tryGang(c, run, rack, now)
}

// dropGang undoes reservations for members of a gang.
func (c *candidate) dropGang(launches []launch) {
	for _, l := range launches {
		l.monitor.worker.CancelReservation(l.request.RunRef)
		c.entry.workflow.DropRun(l.request.RunRef, l.target.Worker)
	}
}

// rackForGang is a rack for which a gang could wait.
type rackForGang struct {
	name    string
	speed   float64       // mean of its workers
	room    time.Duration // expected time until it has room; negative if none is expected
	missing int           // members for which it has no room now
}

// waitsForAnyRack reports whether a gang waits for the rack that is expected to have room first. The lock is held.
func (s *Scheduler) waitsForAnyRack(c *candidate, farSpeed float64, now time.Time) bool {
	choice, best := s.choice(c, farSpeed, now), rackForGang{room: -1}
	for name, monitors := range s.currentRoster().byRack {
		option := s.rackForGang(c, name, monitors, now)
		earlier := best.room < 0 || option.room < best.room || option.room == best.room && option.name < best.name
		if option.room >= 0 && earlier {
			best = option
		}
	}
	if choice.Room = best.room; best.room >= 0 {
		choice.NearSpeed = best.speed
	}
	verdict := locality.Decide(choice)
	if !verdict.Waits() {
		s.near.goElsewhere(c, verdict, now)
		return false
	}
	s.near.wait(c, best.name, best.missing, verdict, now)
	return true
}

// rackForGang describes a rack to a gang. Only workers that may run members and lack at most room count. The lock is held.
func (s *Scheduler) rackForGang(c *candidate, name string, monitors []*workerMonitor, now time.Time) rackForGang {
	step, request := c.entry.workflow.Step(c.ref), c.request(now)
	option, usable, capacity, fits := rackForGang{name: name, room: -1}, 0, 0, 0
	for _, m := range monitors {
		if _, ok := s.allowedOn(*c, m); !ok {
			continue
		}
		if reason := m.worker.Rejection(&request); reason == pool.NoCapacity || reason == pool.NotRejected {
			most := m.worker.MaxFitCount(step)
			usable, capacity, fits = usable+1, capacity+most, fits+min(m.worker.FitCount(step), most)
			option.speed += m.worker.Speed()
		}
	}
	if usable == 0 || capacity < step.Count {
		return option
	}
	option.speed /= float64(usable)
	option.missing = max(step.Count-fits, 1)
	need := pool.ReservedSize(step).MilliCores * int64(option.missing)
	if room := s.near.racks.Room(name, need, s.near.ahead(c, name, now), now); room >= 0 {
		option.room = time.Duration(float64(room) * float64(len(monitors)) / float64(usable))
	}
	return option
}
