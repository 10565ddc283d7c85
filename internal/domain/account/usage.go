package account

import (
	"iter"
	"maps"
	"math"

	"skylarkstall/internal/domain/resource"
)

// Unlimited is what Room returns for an account without a limit.
const Unlimited = math.MaxInt

// Usage counts what each account has running over all endpoints, against the limits of a configuration. What may run besides, of any
// account, counts as used by each account with a limit. It is not safe for concurrent use.
type Usage struct {
	limits  *Set
	limited int // number of accounts with a limit
	used    map[ID]use
	unknown Unknown
}

// Unknown bounds what may run besides what is counted.
type Unknown struct {
	Silent    resource.Vector        // the most that runs on endpoints that have not reported their runs
	Unbounded bool                   // Silent is no bound, as the capacity of such an endpoint is not known
	ByAccount map[ID]resource.Vector // the most that each account runs on these endpoints; nil if that is not known
	Other     resource.Vector        // the most that runs elsewhere, of any account
	// OtherUnbounded tells that Other is no bound.
	OtherUnbounded bool
}

// Of returns the most that an account runs besides what is counted, and false if there is no bound.
func (k *Unknown) Of(id ID) (resource.Vector, bool) {
	most, bounded := k.Silent, !k.Unbounded
	if k.ByAccount != nil {
		own := k.ByAccount[id]
		if bounded {
			own = own.Min(most)
		}
		most, bounded = own, true
	}
	return most.Add(k.Other), bounded && !k.OtherUnbounded
}

// Equal reports whether both are the same bounds.
func (k *Unknown) Equal(o *Unknown) bool {
	return k.Silent == o.Silent && k.Unbounded == o.Unbounded && k.Other == o.Other && k.OtherUnbounded == o.OtherUnbounded &&
		(k.ByAccount == nil) == (o.ByAccount == nil) && maps.Equal(k.ByAccount, o.ByAccount)
}

// use is what an account has running.
type use struct {
	size, lasting resource.Vector // of all runs, and of those that do not end by themselves
	runs          int
	lastingRuns   int
}

// Run is what a run counts with.
type Run struct {
	Size  resource.Vector
	Lasts bool // it does not end by itself
}

// NewUsage returns a usage in which nothing runs and no account has a limit.
func NewUsage() *Usage { return &Usage{used: map[ID]use{}} }

// SetLimits puts the limits of a configuration in force. What runs is not changed by it.
func (u *Usage) SetLimits(accounts *Set) {
	u.limits, u.limited = accounts, 0
	for _, a := range accounts.All() {
		if hasLimit(a.Limit) {
			u.limited++
		}
	}
}

// HasLimits reports whether an account has a limit.
func (u *Usage) HasLimits() bool { return u.limited > 0 }

// SetUnknown sets the bounds of what may run besides what is counted. It counts as used; an account with a limit and without a bound may
// start nothing.
func (u *Usage) SetUnknown(unknown Unknown) { u.unknown = unknown }

// Add counts a run of an account. Runs without an account are not counted.
func (u *Usage) Add(id ID, run Run) { u.change(id, run, 1) }

// Remove ends the count of a run that was added.
func (u *Usage) Remove(id ID, run Run) { u.change(id, run, -1) }

func (u *Usage) change(id ID, run Run, sign int) {
	if id == "" {
		return
	}
	next := u.used[id]
	size := run.Size.Scale(int64(sign))
	next.size, next.runs = next.size.Add(size), next.runs+sign
	if run.Lasts {
		next.lasting, next.lastingRuns = next.lasting.Add(size), next.lastingRuns+sign
	}
	if next.runs == 0 {
		delete(u.used, id)
		return
	}
	u.used[id] = next
}

// Used returns what an account has running, and the number of its runs.
func (u *Usage) Used(id ID) (resource.Vector, int) { return u.used[id].size, u.used[id].runs }

// Unknown returns the bounds of what may run besides what is counted.
func (u *Usage) Unknown() *Unknown { return &u.unknown }

// Limit returns the limit of an account, and false if it has none.
func (u *Usage) Limit(id ID) (resource.Vector, bool) {
	if u.limited == 0 {
		return resource.Vector{}, false
	}
	a, _ := u.limits.Get(id)
	return a.Limit, hasLimit(a.Limit)
}

// Limited returns the accounts with a limit.
func (u *Usage) Limited() iter.Seq[Account] {
	return func(yield func(Account) bool) {
		for _, a := range u.limits.All() {
			if hasLimit(a.Limit) && !yield(a) {
				return
			}
		}
	}
}

// Room returns how many tasks of a size an account may start now. An account of which certainly nothing runs may start one task that
// exceeds its limit by itself, which could never start otherwise.
func (u *Usage) Room(id ID, size resource.Vector) int {
	limit, ok := u.Limit(id)
	if !ok {
		return Unlimited
	}
	unknown, bounded := u.unknown.Of(id)
	if !bounded {
		return 0
	}
	room := tasksWithin(limit, u.used[id].size.Add(unknown), size)
	if u.runsNothing(id) {
		return max(room, 1)
	}
	return room
}

// HasRoomForGang reports whether an account may start all members of a gang at once. An account of which certainly nothing runs may start
// a gang that exceeds its limit by no more than one member.
func (u *Usage) HasRoomForGang(id ID, size resource.Vector, members int) bool {
	room := u.Room(id, size)
	if room >= members {
		return true
	}
	limit, _ := u.Limit(id)
	return u.runsNothing(id) && tasksWithin(limit, resource.Vector{}, size) >= members-1
}

// IsWorthWaiting reports whether smaller work of an account should wait for a task, or a gang if there are more members than one, of a size:
// the account uses at least half of its limit, and there will be room once what ends by itself has ended.
func (u *Usage) IsWorthWaiting(id ID, size resource.Vector, members int) bool {
	limit, ok := u.Limit(id)
	used := u.used[id]
	if !ok || used.size.Scale(2).DominantShare(limit) < 1 {
		return false
	}
	if used.lastingRuns == 0 {
		members-- // the last one may exceed the limit
	}
	return tasksWithin(limit, used.lasting, size) >= members
}

func (u *Usage) runsNothing(id ID) bool {
	unknown, bounded := u.unknown.Of(id)
	return u.used[id].runs == 0 && unknown.IsZero() && bounded
}

func hasLimit(limit resource.Vector) bool {
	return limit.MilliCores > 0 || limit.MemoryBytes > 0 || limit.Accelerators > 0
}

// tasksWithin returns how many tasks of a size fit under a limit beside what is used.
func tasksWithin(limit, used, size resource.Vector) int {
	room := int64(math.MaxInt)
	for _, c := range [...][3]int64{
		{limit.MilliCores, used.MilliCores, size.MilliCores},
		{limit.MemoryBytes, used.MemoryBytes, size.MemoryBytes},
		{limit.Accelerators, used.Accelerators, size.Accelerators},
	} {
		limit, free, size := c[0], c[0]-c[1], c[2]
		switch {
		case limit == 0:
		case free < 0:
			return 0
		case size > 0:
			room = min(room, free/size)
		}
	}
	return int(room)
}
