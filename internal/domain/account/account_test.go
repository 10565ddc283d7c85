package account_test

import (
	"math"
	"strings"
	"testing"

	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

func keys(texts ...string) []account.KeyDigest {
	digests := make([]account.KeyDigest, len(texts))
	for i, text := range texts {
		digests[i] = account.DigestKey(text)
	}
	return digests
}

// TestByKey guards against a key that is taken for that of another account, and against an unknown or empty key that is accepted.
func TestByKey(t *testing.T) {
	set, err := account.NewSet([]account.Account{{ID: "a", Keys: keys("a1", "a2")}, {ID: "b", Keys: keys("b1")}, {ID: "none"}})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]account.ID{"a1": "a", "a2": "a", "b1": "b", "": "", "a": "", "A1": "", "a1 ": ""} {
		if got, ok := set.ByKey(key); got != want || ok != (want != "") {
			t.Errorf("key %q belongs to account %q, %v; want %q", key, got, ok, want)
		}
	}
	var none *account.Set
	if id, ok := none.ByKey("a1"); ok {
		t.Errorf("without accounts the key belongs to %q", id)
	}
}

// TestNewSetRefuses guards against a configuration that is half understood, and against an error that tells a key.
func TestNewSetRefuses(t *testing.T) {
	for name, test := range map[string]struct {
		accounts []account.Account
		text     string // contained in the error
	}{
		"no name":             {[]account.Account{{ID: "a"}, {}}, "accounts[1]: the account has no name"},
		"name twice":          {[]account.Account{{ID: "a"}, {ID: "a"}}, `"a" is used twice`},
		"key of two accounts": {[]account.Account{{ID: "a", Keys: keys("secret")}, {ID: "b", Keys: keys("x", "secret")}}, `key 1 of account "b" is also a key of account "a"`},
		"negative share":      {[]account.Account{{ID: "a", Share: -1}}, "share"},
		"share not a number":  {[]account.Account{{ID: "a", Share: math.NaN()}}, "share"},
		"negative limit":      {[]account.Account{{ID: "a", Limit: resource.Vector{MemoryBytes: -1}}}, "limit"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := account.NewSet(test.accounts)
			if !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), test.text) {
				t.Errorf("error %v; want invalid with %q", err, test.text)
			}
			if err != nil && strings.Contains(err.Error(), "secret") {
				t.Errorf("the error tells a key: %v", err)
			}
		})
	}
}

// TestKeyDigest guards against digests that change on their way through a text.
func TestKeyDigest(t *testing.T) {
	digest := account.DigestKey("key")
	if parsed, err := account.ParseKeyDigest(digest.Hex()); err != nil || parsed != digest {
		t.Errorf("parsed %v, error %v; want the digest", parsed, err)
	}
	for _, text := range []string{"", "zz", digest.Hex()[2:], digest.Hex() + "00"} {
		if _, err := account.ParseKeyDigest(text); !fault.Is(err, fault.Invalid) {
			t.Errorf("digest %q: error %v; want invalid", text, err)
		}
	}
}

// TestCanReach guards against a job that another account reaches, and against one that nobody does: it may have been accepted without an
// account, or its queue may be public now.
func TestCanReach(t *testing.T) {
	for _, c := range []struct {
		caller, owner account.ID
		want          bool
	}{{"a", "a", true}, {"a", "b", false}, {"a", "", true}, {"", "b", true}, {"", "", true}} {
		if got := c.caller.CanReach(c.owner); got != c.want {
			t.Errorf("account %q reaches a job of %q: %v, want %v", c.caller, c.owner, got, c.want)
		}
	}
}
