package metrics

import (
	"fmt"
	"strings"
	"testing"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/port"
)

// TestAccountMetrics guards against a use or a limit of an account that stays after its limit is gone, and against accounts whose names
// change all the time and fill the memory of the process.
func TestAccountMetrics(t *testing.T) {
	c := NewCellMetrics()
	state := func(cores int64) port.AccountState {
		return port.AccountState{Used: resource.Vector{MilliCores: cores * 500}, Limit: resource.Vector{MilliCores: cores * 1000, MemoryBytes: 64}, Aside: 7}
	}
	for i := range 2 * maxAccountLabels {
		c.update(port.ProcessState{Accounts: map[account.ID]port.AccountState{account.ID(fmt.Sprintf("a%d", i)): state(9)}})
	}
	c.update(port.ProcessState{Accounts: map[account.ID]port.AccountState{"a3": state(3), "late": state(4), "later": state(5)}})
	text := scrape(t, c)
	for _, line := range []string{
		`skylarkstall_account_used{account="a3",resource="cores"} 1.5`, `skylarkstall_account_limit{account="a3",resource="cores"} 3`,
		`skylarkstall_account_limit{account="a3",resource="memory_bytes"} 64`, `skylarkstall_account_steps_at_limit{account="a3"} 7`,
		`skylarkstall_account_limit{account="a4",resource="cores"} 0`, `skylarkstall_account_steps_at_limit{account="a4"} 0`,
		`skylarkstall_account_used{account="(other)",resource="cores"} 4.5`, `skylarkstall_account_steps_at_limit{account="(other)"} 14`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
	if n := strings.Count(text, "skylarkstall_account_steps_at_limit{"); n != maxAccountLabels+1 {
		t.Errorf("%d accounts, want %d", n, maxAccountLabels+1)
	}
}
