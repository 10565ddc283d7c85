package peerwire

import "time"

// Times of a session.
const (
	// HeartbeatInterval is how often the dialing side sends a heartbeat; the reply is the other side's.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is how long a heartbeat may stay unanswered. A connection that goes silent right after a
	// heartbeat is closed after one interval and this time, and a new one is open before three intervals have passed.
	HeartbeatTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a connection and the exchange of the first messages.
	dialTimeout = HeartbeatTimeout
	// silenceLimit is how long the accepting side waits for a heartbeat. The dialing side replaces the session sooner
	// if it can.
	silenceLimit = 3 * HeartbeatInterval
	// callReadTimeout bounds the arrival of a whole call once its stream is open.
	callReadTimeout = 5 * time.Second
	// replyWriteTimeout bounds the sending of a reply to a peer that does not read it.
	replyWriteTimeout = 10 * time.Second
)

// Bounds of what one peer can make this process hold.
const (
	// maxStreams is how many calls to one peer, and how many calls of one peer, may be in progress. 22,000 running
	// tasks on 17 processes give about 80 for a pair; the rest is for bursts.
	maxStreams = 4096
	// maxReading is how many calls of one peer are read at the same time: 16 frames hold at most 32 MB.
	maxReading = 16
	// ackBacklog is how many streams may wait to be accepted.
	ackBacklog = 1024
	// maxHandshakes is how many accepted connections may be in the exchange of first messages.
	maxHandshakes = 64
	// maxSessions is how many peers may have a session. The design assumes 17 processes.
	maxSessions = 256
)
