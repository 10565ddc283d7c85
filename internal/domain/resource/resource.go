// Package resource defines vectors of resources: what a task needs and what a worker has.
package resource

import (
	"fmt"
	"math"

	"skylarkstall/internal/fault"
)

// Vector is an amount of each resource.
type Vector struct {
	MilliCores   int64 `json:"milli_cores"`  // thousandths of a processor core
	MemoryBytes  int64 `json:"memory_bytes"` // bytes
	Accelerators int64 `json:"accelerators"` // whole devices
	Slots        int64 `json:"slots"`        // concurrent tasks
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		v.MilliCores + o.MilliCores, v.MemoryBytes + o.MemoryBytes,
		v.Accelerators + o.Accelerators, v.Slots + o.Slots,
	}
}

// Sub returns v - o, which may be negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{
		v.MilliCores - o.MilliCores, v.MemoryBytes - o.MemoryBytes,
		v.Accelerators - o.Accelerators, v.Slots - o.Slots,
	}
}

// Scale returns v * n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCores * n, v.MemoryBytes * n, v.Accelerators * n, v.Slots * n}
}

// Prorate returns v * part / whole, rounded up. whole must be positive.
func (v Vector) Prorate(part, whole int64) Vector {
	scale := func(n int64) int64 { return int64(math.Ceil(float64(n) * float64(part) / float64(whole))) }
	return Vector{scale(v.MilliCores), scale(v.MemoryBytes), scale(v.Accelerators), scale(v.Slots)}
}

// Max returns the element-wise maximum of v and o.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		max(v.MilliCores, o.MilliCores), max(v.MemoryBytes, o.MemoryBytes),
		max(v.Accelerators, o.Accelerators), max(v.Slots, o.Slots),
	}
}

// Min returns the element-wise minimum of v and o.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		min(v.MilliCores, o.MilliCores), min(v.MemoryBytes, o.MemoryBytes),
		min(v.Accelerators, o.Accelerators), min(v.Slots, o.Slots),
	}
}

// Fits reports whether v is at most o in every resource.
func (v Vector) Fits(o Vector) bool {
	return v.MilliCores <= o.MilliCores && v.MemoryBytes <= o.MemoryBytes &&
		v.Accelerators <= o.Accelerators && v.Slots <= o.Slots
}

// IsZero reports whether all amounts are zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// DominantShare returns the largest share that v takes of any resource of total: between 0 and 1 if v fits.
func (v Vector) DominantShare(total Vector) float64 {
	return max(share(v.MilliCores, total.MilliCores), share(v.MemoryBytes, total.MemoryBytes),
		share(v.Accelerators, total.Accelerators), share(v.Slots, total.Slots))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Validate fails with Invalid for negative amounts and for a size without a slot. The error names the field.
func (v Vector) Validate(field string) error {
	switch {
	case v.MilliCores < 0 || v.MemoryBytes < 0 || v.Accelerators < 0:
		return fault.New(fault.Invalid, "%s has a negative resource: %s", field, v)
	case v.Slots < 1:
		return fault.New(fault.Invalid, "%s.slots is %d; the minimum is 1", field, v.Slots)
	}
	return nil
}

// String returns the vector in human-readable form.
func (v Vector) String() string {
	return fmt.Sprintf("%dm cores, %d MiB, %d accelerators, %d slots",
		v.MilliCores, v.MemoryBytes>>20, v.Accelerators, v.Slots)
}
