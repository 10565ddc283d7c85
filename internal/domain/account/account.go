// Package account holds the client accounts of a configuration: which key belongs to which account, and what the account is
// entitled to. Keys are kept as digests only.
package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"math"

	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
)

// ID is the name of a client account. The empty ID stands for no account: a job of a public queue, or one that was accepted by
// a version that does not know accounts.
type ID string

// CanReach reports whether a caller of this account may read or cancel what belongs to owner. What belongs to no account is open to
// every caller of its queue, and so is everything to a caller without an account, whom the operator lets in without a key.
func (id ID) CanReach(owner ID) bool { return id == "" || owner == "" || id == owner }

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ParseKeyDigest parses the format of KeyDigest.Hex. It fails with Invalid.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var d KeyDigest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, fault.New(fault.Invalid, "want the %d hexadecimal digits of a key digest", hex.EncodedLen(len(d)))
	}
	copy(d[:], raw)
	return d, nil
}

// Hex returns the digest in hexadecimal digits.
func (d KeyDigest) Hex() string { return hex.EncodeToString(d[:]) }

// Account is a client account.
type Account struct {
	ID    ID
	Keys  []KeyDigest
	Share float64         // submissions per second that the account is entitled to when there is not enough room for all
	Limit resource.Vector // upper bound of what the account may run at once over all endpoints; a component of 0 is no limit
}

// Set holds the accounts of one version of the configuration. It never changes. The nil Set has no accounts.
type Set struct {
	accounts []Account
	byID     map[ID]*Account
	byKey    map[KeyDigest]*Account
}

// NewSet returns a set of accounts. It fails with Invalid for an account without an id, an id or a key that occurs twice, and a share or
// a limit that is negative or not a number; the error names the field, and no key.
func NewSet(accounts []Account) (*Set, error) {
	s := &Set{accounts: accounts, byID: map[ID]*Account{}, byKey: map[KeyDigest]*Account{}}
	for i := range accounts {
		if err := s.add(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Set) add(index int) error {
	a := &s.accounts[index]
	switch {
	case a.ID == "":
		return fault.New(fault.Invalid, "accounts[%d]: the account has no name", index)
	case s.byID[a.ID] != nil:
		return fault.New(fault.Invalid, "accounts[%d]: the name %q is used twice", index, a.ID)
	case math.IsNaN(a.Share) || math.IsInf(a.Share, 0) || a.Share < 0:
		return fault.New(fault.Invalid, "accounts[%d]: the share of account %q is %v; want a number from 0", index, a.ID, a.Share)
	case a.Limit.MilliCores < 0 || a.Limit.MemoryBytes < 0 || a.Limit.Accelerators < 0:
		return fault.New(fault.Invalid, "accounts[%d]: the limit of account %q is negative: %s", index, a.ID, a.Limit)
	}
	s.byID[a.ID] = a
	for i, key := range a.Keys {
		if other := s.byKey[key]; other != nil {
			return fault.New(fault.Invalid, "accounts[%d]: key %d of account %q is also a key of account %q", index, i, a.ID, other.ID)
		}
		s.byKey[key] = a
	}
	return nil
}

// Len returns the number of accounts.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.accounts)
}

// All returns the accounts in the order of the configuration. The list must not be changed.
func (s *Set) All() []Account {
	if s == nil {
		return nil
	}
	return s.accounts
}

// Get returns an account, and false if there is none with the id.
func (s *Set) Get(id ID) (Account, bool) {
	if s == nil || s.byID[id] == nil {
		return Account{}, false
	}
	return *s.byID[id], true
}

// ByKey returns the account to which a key belongs, and false if the key is unknown. How long it takes does not tell how much of a key
// is right: only digests are compared.
func (s *Set) ByKey(key string) (ID, bool) {
	if s == nil || key == "" { // a caller without a key has no account, whatever the configuration holds
		return "", false
	}
	digest := DigestKey(key)
	a := s.byKey[digest]
	if a == nil {
		return "", false
	}
	for i := range a.Keys {
		if subtle.ConstantTimeCompare(a.Keys[i][:], digest[:]) == 1 {
			return a.ID, true
		}
	}
	return "", false
}
