package metrics

import (
	"github.com/uber-go/tally/v4"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/port"
)

const (
	// maxAccountLabels bounds the series of accounts, which come and go with the configuration.
	maxAccountLabels = 400
	// otherAccounts is the label of the accounts beyond that; its gauges are sums.
	otherAccounts account.ID = "(other)"
)

// accountGauges are the gauges of one account.
type accountGauges struct {
	used, limit vectorGauges
	aside       tally.Gauge
}

// vectorGauges are the gauges of an amount of each resource that has a limit.
type vectorGauges struct{ cores, memory, accelerators tally.Gauge }

func newVectorGauges(scope tally.Scope, name string) vectorGauges {
	gauge := func(resource string) tally.Gauge {
		return scope.Tagged(map[string]string{"resource": resource}).Gauge(name)
	}
	return vectorGauges{gauge("cores"), gauge("memory_bytes"), gauge("accelerators")}
}

func (g vectorGauges) update(v resource.Vector) {
	const milliCoresPerCore = 1000
	g.cores.Update(float64(v.MilliCores) / milliCoresPerCore)
	g.memory.Update(float64(v.MemoryBytes))
	g.accelerators.Update(float64(v.Accelerators))
}

// updateAccounts sets the gauges of the accounts with a limit. Those of accounts that have none any more return to 0.
func (c *CellMetrics) updateAccounts(states map[account.ID]port.AccountState) {
	labeled := map[account.ID]port.AccountState{}
	for id, state := range states {
		if _, known := c.accounts[id]; !known && len(c.accounts) >= maxAccountLabels {
			id = otherAccounts
		}
		total := labeled[id]
		total.Used, total.Limit, total.Aside = total.Used.Add(state.Used), total.Limit.Add(state.Limit), total.Aside+state.Aside
		labeled[id] = total
		c.registerAccount(id)
	}
	for id, gauges := range c.accounts {
		gauges.used.update(labeled[id].Used)
		gauges.limit.update(labeled[id].Limit)
		gauges.aside.Update(float64(labeled[id].Aside))
	}
}

func (c *CellMetrics) registerAccount(id account.ID) {
	if _, known := c.accounts[id]; known {
		return
	}
	scope := c.scope.Tagged(map[string]string{"account": string(id)})
	c.accounts[id] = accountGauges{
		newVectorGauges(scope, "account_used"), newVectorGauges(scope, "account_limit"), scope.Gauge("account_steps_at_limit"),
	}
}
