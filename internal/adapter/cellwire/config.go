package cellwire

import (
	"context"
	"time"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/port"
)

// pingReply is the reply to a ping.
type pingReply struct {
	*cellpb.Reply
	sentAt time.Time // of the ping, by the clock of the replica
}

// exchangeConfig compares the configuration of the peer, which replied to a ping, with that of this process, and passes the
// newer one on. A process that the store rejects learns of changes in this way, also if it is the leader.
func (t *Transport) exchangeConfig(ctx context.Context, s *session, reply pingReply) error {
	if len(reply.GetConfig()) > 0 {
		t.replica.Apply(reply.GetConfig(), string(s.peer))
	}
	theirs := reply.GetConfigStatus()
	t.replica.Confirm(decodeConfigStatus(theirs, reply.sentAt), string(s.peer))
	own, source := t.replica.Current()
	if theirs == nil || own.Version <= theirs.GetVersion() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := s.call(ctx, &cellpb.Call{Body: &cellpb.Call_NewConfig{NewConfig: source}})
	return err
}

// answerConfigStatus returns the status of this process's configuration, and the configuration itself if it is newer than
// that of the peer, which sent its status with a ping.
//
// A ping may have been on its way for any time. The clock that it echoes, from a reply of this process in the same session, is a time
// before the ping was stated. Without an echo the evidence of the peer is not taken.
func (t *Transport) answerConfigStatus(peer ident.ProcessID, status *cellpb.ConfigStatus) (*cellpb.ConfigStatus, []byte) {
	if echo := time.Unix(0, status.GetEchoNs()); status.GetEchoNs() != 0 && !echo.After(t.replica.Now()) {
		t.replica.Confirm(decodeConfigStatus(status, echo), string(peer))
	}
	own, source := t.replica.Current()
	if own.Version <= status.GetVersion() {
		source = nil
	}
	return encodeConfigStatus(own, t.replica.Now()), source
}

// encodeConfigStatus states the status at a time that is not before the evidence was read.
func encodeConfigStatus(s port.ConfigStatus, now time.Time) *cellpb.ConfigStatus {
	m := &cellpb.ConfigStatus{Version: s.Version, ClockNs: now.UnixNano()}
	if !s.Confirmed.IsZero() {
		ms := (max(now.Sub(s.Confirmed), 0) + time.Millisecond - 1).Milliseconds()
		m.ConfirmedMs, m.EvidenceMs = &ms, &ms
	}
	return m
}

// maxConfirmedAge bounds the age of evidence that a peer states.
const maxConfirmedAge = 24 * time.Hour

// decodeConfigStatus dates the evidence of a peer, given a time, by the clock of this process, before which the peer did not state it. So
// neither the time on the way nor a pause of either process makes evidence look younger than it is.
func decodeConfigStatus(m *cellpb.ConfigStatus, notBefore time.Time) port.ConfigStatus {
	s := port.ConfigStatus{Version: m.GetVersion()}
	if m != nil && m.EvidenceMs != nil {
		s.Confirmed = notBefore.Add(-millis(min(max(m.GetEvidenceMs(), 0), maxConfirmedAge.Milliseconds())))
	}
	return s
}
