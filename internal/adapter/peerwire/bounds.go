package peerwire

import "time"

// Intervals and timeouts of a session.
const (
	// HeartbeatInterval is the interval at which the dialing side sends heartbeats. Each reply is the heartbeat of the
	// accepting side.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout bounds the wait for the reply to a heartbeat. A connection that stops responding right after a
	// heartbeat is closed after one interval and this timeout, so that a new one is open before three intervals have
	// passed and the peer counts as dead.
	HeartbeatTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a connection, the TLS handshake and the exchange of hello messages, each.
	dialTimeout = HeartbeatTimeout
	// heartbeatReadTimeout bounds the wait of the accepting side for a heartbeat. The dialing side replaces the session
	// earlier if it can.
	heartbeatReadTimeout = 3 * HeartbeatInterval
	// callReadTimeout bounds the time to read a call after its stream was opened.
	callReadTimeout = 5 * time.Second
	// replyWriteTimeout bounds the write of a reply to a peer that does not read it.
	replyWriteTimeout = 10 * time.Second
)

// Limits of the resources that peers can occupy in this process.
const (
	// maxCallsPerPeer limits the calls in progress to one peer, and likewise those from one peer. 22,000 running tasks
	// on 17 processes give about 80 calls for a pair of processes; the rest is for bursts.
	maxCallsPerPeer = 4096
	// maxConcurrentReads limits the calls from one peer that are read concurrently: 16 frames take at most 32 MB.
	maxConcurrentReads = 16
	// acceptBacklog limits the streams that wait to be accepted.
	acceptBacklog = 1024
	// maxHandshakes limits the accepted connections that have no session yet.
	maxHandshakes = 64
	// maxSessions limits the number of peers with a session. The system is designed for 17 processes.
	maxSessions = 256
)
