package account_test

import (
	"testing"

	"pgregory.net/rapid"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/resource"
)

func newUsage(t interface{ Fatal(...any) }, accounts ...account.Account) *account.Usage {
	set, err := account.NewSet(accounts)
	if err != nil {
		t.Fatal(err)
	}
	usage := account.NewUsage()
	usage.SetLimits(set)
	return usage
}

// TestRoom guards against a start above the limit of an account, and against an account that waits although there is room under it.
func TestRoom(t *testing.T) {
	task := resource.Vector{MilliCores: 2000, MemoryBytes: 100}
	for name, test := range map[string]struct {
		limit          resource.Vector
		runs           int
		unknown        resource.Vector
		unbounded      bool
		byAccount      map[account.ID]resource.Vector
		other          resource.Vector
		otherUnbounded bool
		want           int
	}{
		"no limit":                      {want: account.Unlimited, runs: 9, unbounded: true},
		"nothing runs":                  {limit: resource.Vector{MilliCores: 10_000}, want: 5},
		"room for some":                 {limit: resource.Vector{MilliCores: 10_000}, runs: 2, want: 3},
		"at the limit":                  {limit: resource.Vector{MilliCores: 10_000}, runs: 5, want: 0},
		"limit lowered below":           {limit: resource.Vector{MilliCores: 3000}, runs: 5, want: 0},
		"memory binds":                  {limit: resource.Vector{MilliCores: 10_000, MemoryBytes: 350}, runs: 2, want: 1},
		"limit of what is not used":     {limit: resource.Vector{Accelerators: 1}, runs: 2, want: account.Unlimited},
		"task above the limit":          {limit: resource.Vector{MilliCores: 1000}, want: 1},
		"task above the limit, one run": {limit: resource.Vector{MilliCores: 1000}, runs: 1, want: 0},
		"task above the limit, unknown": {limit: resource.Vector{MilliCores: 1000}, unknown: resource.Vector{Slots: 1}, want: 0},
		"unknown takes room":            {limit: resource.Vector{MilliCores: 10_000}, unknown: resource.Vector{MilliCores: 5000}, runs: 1, want: 1},
		"unknown exceeds the limit":     {limit: resource.Vector{MilliCores: 10_000}, unknown: resource.Vector{MilliCores: 16_000}, want: 0},
		"unknown of the account": {
			limit: resource.Vector{MilliCores: 10_000}, unknown: resource.Vector{MilliCores: 16_000},
			byAccount: map[account.ID]resource.Vector{"a": {MilliCores: 4000}, "b": {MilliCores: 9000}}, want: 3,
		},
		"nothing unknown of the account": {
			limit: resource.Vector{MilliCores: 1000}, unbounded: true, byAccount: map[account.ID]resource.Vector{}, want: 1,
		},
		"unknown elsewhere": {
			limit: resource.Vector{MilliCores: 10_000}, unbounded: true, byAccount: map[account.ID]resource.Vector{},
			other: resource.Vector{MilliCores: 5000}, want: 2,
		},
		"elsewhere without a bound": {
			limit: resource.Vector{MilliCores: 10_000}, byAccount: map[account.ID]resource.Vector{}, otherUnbounded: true,
		},
		"less capacity than jobs": {
			limit: resource.Vector{MilliCores: 10_000}, unknown: resource.Vector{MilliCores: 2000},
			byAccount: map[account.ID]resource.Vector{"a": {MilliCores: 40_000}}, want: 4,
		},
		"unknown without a bound": {limit: resource.Vector{MilliCores: 10_000}, unbounded: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			usage := newUsage(t, account.Account{ID: "a", Limit: test.limit}, account.Account{ID: "b", Limit: task})
			for range test.runs {
				usage.Add("a", account.Run{Size: task})
			}
			usage.SetUnknown(account.Unknown{Silent: test.unknown, Unbounded: test.unbounded, ByAccount: test.byAccount, Other: test.other, OtherUnbounded: test.otherUnbounded})
			if got := usage.Room("a", task); got != test.want {
				t.Errorf("%d tasks may start, want %d", got, test.want)
			}
			if got := usage.Room("not configured", task); got != account.Unlimited {
				t.Errorf("%d tasks of an account that is not configured may start, want any number", got)
			}
		})
	}
}

// TestRoomForGang guards against a gang that starts in part or above the limit, and against one that waits for good.
func TestRoomForGang(t *testing.T) {
	task := resource.Vector{MilliCores: 1000}
	usage := newUsage(t, account.Account{ID: "a", Limit: resource.Vector{MilliCores: 4500}})
	for _, test := range []struct {
		runs, members int
		want          bool
	}{
		{0, 4, true}, {0, 5, true}, {0, 6, false}, {1, 3, true}, {1, 4, false}, {5, 1, false},
	} {
		for range test.runs {
			usage.Add("a", account.Run{Size: task})
		}
		if got := usage.HasRoomForGang("a", task, test.members); got != test.want {
			t.Errorf("%d members beside %d runs: room %v, want %v", test.members, test.runs, got, test.want)
		}
		for range test.runs {
			usage.Remove("a", account.Run{Size: task})
		}
	}
}

// TestWorthWaiting guards against work that waits for a larger one which will not start, or while its account uses less than half of its
// limit.
func TestWorthWaiting(t *testing.T) {
	task := resource.Vector{MilliCores: 1000}
	for name, test := range map[string]struct {
		runs, lasting, members int
		want                   bool
	}{
		"room once the others end":         {runs: 4, members: 4, want: true},
		"one member above the limit":       {runs: 4, members: 5, want: true},
		"two members above the limit":      {runs: 4, members: 6},
		"beside one that lasts":            {runs: 3, lasting: 1, members: 3, want: true},
		"not beside one that lasts":        {runs: 3, lasting: 1, members: 4},
		"less than half of the limit":      {runs: 1, members: 4},
		"more than the limit, all lasting": {lasting: 5, members: 1},
	} {
		t.Run(name, func(t *testing.T) {
			usage := newUsage(t, account.Account{ID: "a", Limit: resource.Vector{MilliCores: 4000}})
			for range test.runs {
				usage.Add("a", account.Run{Size: task})
			}
			for range test.lasting {
				usage.Add("a", account.Run{Size: task, Lasts: true})
			}
			if got := usage.IsWorthWaiting("a", task, test.members); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
	if newUsage(t).IsWorthWaiting("a", task, 1) {
		t.Error("work of an account without a limit waits")
	}
}

// TestUsageRecounted guards against a count that differs from what runs, or a limit that starts pass, after any sequence of starts, ends
// and changes of the limits.
func TestUsageRecounted(t *testing.T) {
	type run struct {
		account.Run
		id account.ID
	}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Custom(func(t *rapid.T) resource.Vector {
			return resource.Vector{
				MilliCores: rapid.Int64Range(0, 20).Draw(t, "cores"), MemoryBytes: rapid.Int64Range(0, 20).Draw(t, "memory"),
			}
		})
		usage, limits := newUsage(t), map[account.ID]resource.Vector{}
		var running []run
		recount := func(id account.ID) (total resource.Vector, runs int) {
			for _, r := range running {
				if r.id == id {
					total, runs = total.Add(r.Size), runs+1
				}
			}
			return total, runs
		}
		for range rapid.IntRange(0, 60).Draw(t, "operations") {
			id := rapid.SampledFrom([]account.ID{"", "a", "b"}).Draw(t, "account")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				limits["a"], limits["b"] = limit.Draw(t, "a"), limit.Draw(t, "b")
				set, _ := account.NewSet([]account.Account{{ID: "a", Limit: limits["a"]}, {ID: "b", Limit: limits["b"]}})
				usage.SetLimits(set)
			case 1:
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(t, "run")
					usage.Remove(running[i].id, running[i].Run)
					running = append(running[:i], running[i+1:]...)
				}
			default:
				r := run{account.Run{Size: limit.Draw(t, "size"), Lasts: rapid.Bool().Draw(t, "lasts")}, id}
				if room := usage.Room(id, r.Size); room == 0 {
					continue
				}
				before, runs := recount(id)
				usage.Add(id, r.Run)
				running = append(running, r)
				after, bound := before.Add(r.Size), limits[id]
				if over := bound.MilliCores > 0 && after.MilliCores > bound.MilliCores || bound.MemoryBytes > 0 && after.MemoryBytes > bound.MemoryBytes; over && runs > 0 {
					t.Fatalf("account %q may run %s and has %s after a start", id, bound, after)
				}
			}
			for _, id := range []account.ID{"a", "b"} {
				used, runs := usage.Used(id)
				if total, n := recount(id); used != total || runs != n {
					t.Fatalf("account %q is counted with %s in %d runs, has %s in %d", id, used, runs, total, n)
				}
			}
		}
	})
}
