// Package fitness decides which process of a cell is best placed to lead it: by the share of a processor that each can use, and by
// whether the present leader keeps up.
package fitness

import "time"

// Share is the part of a processor that a process can use as leader, in cores. 0 means that it is not known.
type Share float64

// mbpsPerCore is the bandwidth that a leader needs for each core that it uses. With 10 Mbit/s it sends some 300 starts a second, whatever
// its processor; with 0.48 of a core and 200 Mbit/s it sends more than 1,000.
const mbpsPerCore = 80

// UsableShare returns the part of a processor that a leader can use, given its share in cores and the bandwidth of its link in Mbit/s.
// A bandwidth of 0 is not known and counts as ample.
func UsableShare(cores, mbps float64) Share {
	if mbps <= 0 {
		return Share(cores)
	}
	return Share(min(cores, mbps/mbpsPerCore))
}

// ShareOf returns the share of the given millicores.
func ShareOf(millicores uint32) Share { return Share(millicores) / 1000 }

// Millicores returns the share in thousandths of a core.
func (s Share) Millicores() uint32 { return uint32(max(s, 0)*1000 + 0.5) }

// decisiveRatio is the ratio of two shares from which on the larger one matters. A smaller difference does not pay for the second of
// service that a hand-over costs. Each hand-over for fitness raises the leader's share by it, so a series of them ends.
const decisiveRatio = 1.25

// Outmatches reports whether the share is larger than another by enough to matter. It is false if one of them is not known.
func (s Share) Outmatches(other Share) bool {
	return s > 0 && other > 0 && s >= decisiveRatio*other
}

// maxElectionDelay bounds the time for which a process leaves a vacant leadership to processes with larger shares.
const maxElectionDelay = 400 * time.Millisecond

// ElectionDelay returns how long a process leaves a vacant leadership to others, given the largest share in reach. It is 0 for that
// process and for those with about as much.
func ElectionDelay(own, largest Share) time.Duration {
	if !largest.Outmatches(own) {
		return 0
	}
	return time.Duration(float64(1-own/largest) * float64(maxElectionDelay))
}

// usualShare is a share with which a process does not wait for others of which it knows nothing.
const usualShare Share = 0.4

// StartingDelay returns the election delay of a process that has not learnt yet which shares the others have. If it errs, a better
// placed process succeeds the leader.
func StartingDelay(own Share) time.Duration {
	if own <= 0 {
		return 0
	}
	return time.Duration(max(float64(1-own/usualShare), 0) * float64(maxElectionDelay))
}
