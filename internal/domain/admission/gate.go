package admission

import (
	"sync"
	"time"

	"skylarkstall/internal/domain/account"
)

// statementTTL is how long a statement is valid. It covers three intervals between pings, and a late reply.
const statementTTL = 2 * time.Second

// LevelState is what a statement says of a level. A level that it does not mention has room.
type LevelState struct {
	Level
	Wait          time.Duration // expected wait for room of a new job
	RefusesExcess bool          // jobs beyond the share of their account are refused
	Shedding      Shedding      // what is refused because the leader starts less than is asked
	// Parts of the service's capacity that jobs of the level and above use and wait for. Only the leader knows them.
	Used, Waiting float64
}

// Statement is what the leader tells the processes about room. The zero value states that there is room for everything.
type Statement struct {
	Levels []LevelState
	// Refused lists the accounts of which jobs were refused lately, and may be submitted again; the empty ID for jobs without one.
	Refused []account.ID
}

// IsZero reports whether there is room for everything.
func (s *Statement) IsZero() bool {
	return len(s.Levels) == 0 && len(s.Refused) == 0
}

// SetShedding states how new jobs of a level are treated while the leader starts less than is asked.
func (s *Statement) SetShedding(level Level, shedding Shedding) {
	for i := range s.Levels {
		if s.Levels[i].Level == level {
			s.Levels[i].Shedding = shedding
			return
		}
	}
	s.Levels = append(s.Levels, LevelState{Level: level, Shedding: shedding})
}

// Level returns what is stated of a level.
func (s *Statement) Level(level Level) LevelState {
	for _, l := range s.Levels {
		if l.Level == level {
			return l
		}
	}
	return LevelState{Level: level}
}

// Gate keeps the latest statement of the leader in a process, and tells which jobs the leader has to be asked about. Without a valid
// statement it is asked about none. It is safe for concurrent use. The zero value is ready to use.
type Gate struct {
	mu      sync.RWMutex
	stated  time.Time // when the statement was requested; zero if there is none
	levels  map[Level]LevelState
	refused map[account.ID]time.Time // until when jobs that were refused may be submitted again
	shed    time.Time                // until when jobs of any account that the leader does not know may be
}

// Observe takes a statement that was requested at the given time. An older one than the latest changes nothing.
func (g *Gate) Observe(s Statement, requested time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if requested.Before(g.stated) {
		return
	}
	g.stated = requested
	g.levels = nil
	if len(s.Levels) > 0 {
		g.levels = make(map[Level]LevelState, len(s.Levels))
		for _, l := range s.Levels {
			g.levels[l.Level] = l
			if l.Shedding.Refused > 0 {
				g.shed = requested.Add(refusalMemory)
			}
		}
	}
	for _, id := range s.Refused {
		g.noteRefusal(id, requested)
	}
}

// NoteRefusal records evidence that a job of an account was refused lately.
func (g *Gate) NoteRefusal(id account.ID, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteRefusal(id, now)
}

func (g *Gate) noteRefusal(id account.ID, now time.Time) {
	if g.refused == nil {
		g.refused = map[account.ID]time.Time{}
	}
	if until := now.Add(refusalMemory); until.After(g.refused[id]) {
		g.refused[id] = until
	}
}

// MayHaveRefused reports whether jobs of an account were refused lately, here or by other processes.
func (g *Gate) MayHaveRefused(id account.ID, now time.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return now.Before(g.refused[id]) || now.Before(g.shed)
}

// MustAsk reports whether the leader has to be asked about a job before it is stored.
func (g *Gate) MustAsk(r Request, now time.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if len(g.levels) == 0 || now.Sub(g.stated) > statementTTL {
		return false
	}
	level := g.levels[r.Level]
	return level.RefusesExcess && r.Account != "" || r.LatestStart > 0 && level.Wait > r.LatestStart
}

// Shed decides on a job by what the leader has stated about its starts, without asking it.
func (g *Gate) Shed(r Request, now time.Time) Verdict {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if now.Sub(g.stated) > statementTTL {
		return Verdict{}
	}
	return g.levels[r.Level].Shed(r)
}

// Shed decides on a job by what the leader starts less than is asked. Jobs that may start at any time are never refused for that.
func (l LevelState) Shed(r Request) Verdict {
	after, refused := l.Shedding.Refuses(r.Job)
	if r.LatestStart <= 0 || !refused {
		return Verdict{}
	}
	return Verdict{Reason: LeaderBehind, RetryAfter: after, Wait: l.Shedding.Wait}
}

// Age returns the age of the latest statement. There must be one.
func (g *Gate) Age(now time.Time) time.Duration {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return max(now.Sub(g.stated), 0)
}
