package account_test

import (
	"testing"
	"time"

	"skylarkstall/internal/domain/account"
)

// TestDecide guards against a withdrawn key that is accepted after the bound, an added one that is rejected, and a process that refuses
// keys although nobody asked for a bound.
func TestDecide(t *testing.T) {
	policy := account.WithdrawalPolicy{RevokeBound: 5 * time.Second, ApplyBound: 3 * time.Second}
	at := time.Unix(1_700_000_000, 0)
	for name, test := range map[string]struct {
		policy account.WithdrawalPolicy
		known  bool
		none   bool // no evidence
		age    time.Duration
		want   account.Verdict
	}{
		"known, fresh evidence":        {policy, true, false, 4500 * time.Millisecond, account.Accepted},
		"known, old evidence":          {policy, true, false, 4501 * time.Millisecond, account.EvidenceTooOld},
		"known, no evidence":           {policy, true, true, 0, account.EvidenceTooOld},
		"unknown, fresh evidence":      {policy, false, false, 2700 * time.Millisecond, account.UnknownKey},
		"unknown, old evidence":        {policy, false, false, 2701 * time.Millisecond, account.EvidenceTooOld},
		"unknown, no evidence":         {policy, false, true, 0, account.EvidenceTooOld},
		"known without a policy":       {account.WithdrawalPolicy{}, true, true, 0, account.Accepted},
		"unknown without a policy":     {account.WithdrawalPolicy{}, false, true, 0, account.UnknownKey},
		"old evidence, without policy": {account.WithdrawalPolicy{}, true, false, time.Hour, account.Accepted},
	} {
		evidence := account.Evidence{At: at, Source: "store"}
		if test.none {
			evidence = account.Evidence{}
		}
		if got := test.policy.Decide(test.known, evidence, at.Add(test.age)); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}
