package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarkstall/internal/domain/account"
)

// Parameters of the statement whether there is room.
const (
	// defaultMaxWait is the wait for room of a level from which on it has none, if its queues have no objective.
	defaultMaxWait = time.Second
	// fullUse is the used part of a service's capacity from which on it may lack room, and freeUse the one below which it certainly
	// does not. A tenth remains unused also under load, because tasks do not fill the workers exactly.
	fullUse = 0.85
	freeUse = 0.75
	// minBatchShare is the least part of a service's capacity that is taken to be left by long-running tasks.
	minBatchShare = 0.05
	// usableFree is the part of the free capacity that waiting tasks certainly find on the workers, although it is in pieces.
	usableFree = 0.5
	// refusalMemory is for how long processes are told which accounts' jobs were refused. It covers maxReturn and the callers' delays.
	refusalMemory = 15 * time.Second
)

// Load is what runs on the workers of a service, and waits for them, at one priority. Sizes are parts of the service's capacity.
type Load struct {
	Priority int
	Work     time.Duration // that the whole capacity needs for the tasks that wait
	Waiting  float64       // size of the tasks that wait
	Used     float64       // size of the tasks that run
	Lasting  float64       // size of the long-running tasks among both
	MaxWait  time.Duration // of the most urgent queue at the priority; 0 if none has an objective
}

// levelRoom is what is known of a level.
type levelRoom struct {
	full          bool          // hardly any capacity is left by what the level cannot preempt
	wait          time.Duration // expected for room of a new job
	refusesExcess bool          // ends when the wait is half of the one from which on excess is refused
	returns       returnSlots
}

// Room states for which levels there is no room. It is not safe for concurrent use. The zero value is not usable; see NewRoom.
type Room struct {
	levels  map[Level]*levelRoom
	refused map[account.ID]time.Time // when a job of the account was last refused
}

// NewRoom returns a Room with room for everything.
func NewRoom() *Room {
	return &Room{levels: map[Level]*levelRoom{}, refused: map[account.ID]time.Time{}}
}

// Observe updates the state of a service. The loads are those of all priorities of its queues, also where nothing waits. What runs at a
// lower priority than a job takes no room from it, because it can be preempted. Observe returns the levels that have begun or ended to refuse jobs beyond shares.
func (r *Room) Observe(service string, loads []Load) []LevelState {
	var changed []LevelState
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Priority, b.Priority) })
	var before Load // all that runs or waits at the priority and the higher ones
	for _, load := range loads {
		before.Work, before.Waiting = before.Work+load.Work, before.Waiting+load.Waiting
		before.Used, before.Lasting = before.Used+load.Used, before.Lasting+load.Lasting
		level := Level{service, load.Priority}
		known := r.level(level)
		refused := known.refusesExcess
		known.observe(before, cmp.Or(load.MaxWait, defaultMaxWait))
		if known.refusesExcess != refused {
			changed = append(changed, LevelState{
				Level: level, Wait: known.wait, RefusesExcess: known.refusesExcess, Used: before.Used, Waiting: before.Waiting,
			})
		}
	}
	return changed
}

// observe updates a level, given all that runs or waits before a new job of it.
func (l *levelRoom) observe(before Load, maxWait time.Duration) {
	l.full = before.Used >= fullUse || l.full && before.Used >= freeUse
	l.wait = 0
	if l.full && before.Waiting > usableFree*(1-before.Used) {
		l.wait = time.Duration(float64(before.Work) / max(1-before.Lasting, minBatchShare))
	}
	l.refusesExcess = l.wait > maxWait || l.refusesExcess && l.wait > maxWait/2
}

func (r *Room) level(l Level) *levelRoom {
	known := r.levels[l]
	if known == nil {
		known = &levelRoom{}
		r.levels[l] = known
	}
	return known
}

// Wait returns the expected wait for room of a new job, with what waits before it; 0 if there is room. It is no more than the true one as
// long as no task ends early.
func (r *Room) Wait(l Level) time.Duration {
	if known := r.levels[l]; known != nil {
		return known.wait
	}
	return 0
}

// RefusesExcess reports whether jobs beyond the share of their account are refused at the level.
func (r *Room) RefusesExcess(l Level) bool {
	known := r.levels[l]
	return known != nil && known.refusesExcess
}

// NextReturn returns when the caller of a refused job should return: not before the given time, and one after the other.
func (r *Room) NextReturn(l Level, earliest time.Duration, now time.Time) time.Duration {
	return r.level(l).returns.next(earliest, lateSpacing, now)
}

// lateSpacing is the time between the returns of callers whose jobs could not be completed in time.
const lateSpacing = 100 * time.Millisecond

// NoteRefusal records that a job of an account was refused.
func (r *Room) NoteRefusal(id account.ID, now time.Time) { r.refused[id] = now }

// Statement returns what the processes are told.
func (r *Room) Statement(now time.Time) Statement {
	var s Statement
	for _, level := range slices.SortedFunc(maps.Keys(r.levels), compareLevels) {
		if known := r.levels[level]; known.wait > 0 {
			s.Levels = append(s.Levels, LevelState{Level: level, Wait: known.wait, RefusesExcess: known.refusesExcess})
		}
	}
	maps.DeleteFunc(r.refused, func(_ account.ID, at time.Time) bool { return now.Sub(at) > refusalMemory })
	s.Refused = slices.Sorted(maps.Keys(r.refused))
	return s
}

func compareLevels(a, b Level) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
}
