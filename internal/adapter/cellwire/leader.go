package cellwire

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Follow keeps a session to the leader until the session breaks or the context ends, and returns the reason.
func (t *Transport) Follow(ctx context.Context, leader port.Leader) port.FollowResult {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", leader.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.log.Info("leader refuses connections", "leader", leader.Process, "address", leader.Address)
		return port.LeaderDead
	}
	if err != nil {
		t.log.Info("leader not reached", "leader", leader.Process, "error", err)
		pause.For(ctx, redialDelay)
		return port.LeaderUnreachable
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := t.handshake(conn, yamux.Client, 0)
	if err != nil {
		t.log.Info("leader not reached", "leader", leader.Process, "error", err)
		pause.For(ctx, redialDelay)
		return port.LeaderUnreachable
	}
	defer s.mux.Close()
	if s.peer != leader.Process || s.incarnation != leader.Incarnation {
		t.log.Info("another process answers for the leader", "leader", leader.Process, "answers", s.peer)
		return port.LeaderDead
	}
	t.setLeaderSession(s, leader)
	defer t.setLeaderSession(nil, port.Leader{})
	t.log.Info("session opened", "peer", s.peer, "by", "self")
	if !t.start(func() { _ = t.serve(ctx, s) }) { // ends with the session
		return port.LeaderSessionLost
	}
	err = t.monitorLeader(ctx, s)
	t.log.Info("session to the leader ended", "leader", s.peer, "error", err)
	if fault.Is(err, fault.NotReady) {
		return port.LeaderReplaced
	}
	return port.LeaderSessionLost
}

func (t *Transport) setLeaderSession(s *session, leader port.Leader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaderSession, t.followedLeader = s, leader
}

// LargestShare returns the largest share of a processor among the processes that follow the leader: on the leader itself those in
// touch, elsewhere what the leader last told. Sessions to other processes are those of queries.
func (t *Transport) LargestShare() fitness.Share {
	_, leads := t.handler.OwnTerm()
	t.mu.Lock()
	defer t.mu.Unlock()
	if leads && len(t.inbound) > 0 {
		t.largestShare = 0
		for _, s := range t.inbound {
			t.largestShare = max(t.largestShare, s.share)
		}
	}
	return t.largestShare
}

func (t *Transport) learnLargestShare(share fitness.Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if share > 0 {
		t.largestShare = share
	}
}

// DiscoverLeader queries all known processes for the leader. It returns the one with the highest term, or false if no process
// knows a leader.
func (t *Transport) DiscoverLeader(ctx context.Context) (port.Leader, bool) {
	queryCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	addresses := t.knownAddresses()
	replies := make(chan port.Leader, len(addresses))
	for _, address := range addresses {
		if !t.start(func() { replies <- t.queryLeaderAt(queryCtx, address) }) {
			return port.Leader{}, false
		}
	}
	var latest port.Leader
	for range addresses {
		if reply := <-replies; reply.Term > latest.Term {
			latest = reply
		}
	}
	return latest, latest.Term > 0
}

// queryLeaderAt returns the leader that the process at the address knows. The term is 0 if it knows none.
func (t *Transport) queryLeaderAt(ctx context.Context, address string) port.Leader {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return port.Leader{} // the address may be outdated
	}
	defer conn.Close()
	s, err := t.handshake(conn, yamux.Client, 0)
	if err != nil {
		return port.Leader{}
	}
	defer s.mux.Close()
	reply, err := s.call(ctx, &cellpb.Call{Body: &cellpb.Call_Leader{Leader: true}})
	if err != nil {
		t.log.Info("process did not tell who leads", "peer", s.peer, "error", err)
		return port.Leader{}
	}
	return decodeLeader(reply.GetLeader())
}

// knownLeader returns the leader that this process knows. The term is 0 if it knows none.
func (t *Transport) knownLeader() port.Leader {
	if leader, ok := t.handler.OwnTerm(); ok {
		return leader
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.followedLeader
}

// notLeadingGrace is how long the elected process may report that it is not the leader before it has reported that it is,
// because it may still be starting its term.
const notLeadingGrace = time.Second

// monitorLeader sends pings, which carry the version of the configuration, until one fails or the peer is no longer the
// leader, in which case it fails with NotReady.
func (t *Transport) monitorLeader(ctx context.Context, s *session) error {
	graceEnd := time.Now().Add(notLeadingGrace)
	var peerClock int64 // of the latest reply
	for ctx.Err() == nil {
		sent := time.Now()
		reply, err := t.ping(ctx, s, peerClock)
		if err != nil {
			return err
		}
		peerClock = reply.GetConfigStatus().GetClockNs()
		t.observeRoom(reply, sent)
		if err := t.exchangeConfig(ctx, s, reply); err != nil {
			return err
		}
		t.addAddresses(reply.GetPeers()...)
		t.learnLargestShare(fitness.ShareOf(reply.GetLargestCpuMillicores()))
		leads := reply.GetLeads()
		if !leads && !time.Now().Before(graceEnd) {
			return fault.New(fault.NotReady, "%s is no longer the leader", s.peer)
		}
		if leads {
			graceEnd = time.Now()
		}
		select {
		case <-s.mux.CloseChan():
			return fault.New(fault.Unavailable, "connection lost")
		case <-time.After(pingInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// ping sends the status of the configuration with the clock of the peer's latest reply, and returns the reply.
func (t *Transport) ping(ctx context.Context, s *session, peerClock int64) (pingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	current, _ := t.replica.Current()
	sentAt := t.replica.Now()
	status := encodeConfigStatus(current, sentAt)
	status.EchoNs = peerClock
	reply, err := s.call(ctx, &cellpb.Call{Body: &cellpb.Call_Ping{Ping: true}, ConfigStatus: status})
	return pingReply{reply, sentAt}, err
}
