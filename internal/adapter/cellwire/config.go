package cellwire

import (
	"context"
	"time"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/port"
)

// exchangeConfig compares the configuration of the peer, which replied to a ping, with that of this process, and passes the
// newer one on. A process that the store rejects learns of changes in this way, also if it is the leader.
func (t *Transport) exchangeConfig(ctx context.Context, s *session, reply *cellpb.Reply) error {
	if len(reply.GetConfig()) > 0 {
		t.replica.Apply(reply.GetConfig(), string(s.peer))
	}
	theirs := decodeConfigStatus(reply.GetConfigStatus())
	t.replica.Confirm(theirs, string(s.peer))
	own, source := t.replica.Current()
	if reply.GetConfigStatus() == nil || own.Version <= theirs.Version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := s.call(ctx, &cellpb.Call{Body: &cellpb.Call_NewConfig{NewConfig: source}})
	return err
}

// answerConfigStatus returns the status of this process's configuration, and the configuration itself if it is newer than
// that of the peer, which sent its status with a ping.
func (t *Transport) answerConfigStatus(peer ident.ProcessID, status *cellpb.ConfigStatus) (*cellpb.ConfigStatus, []byte) {
	theirs := decodeConfigStatus(status)
	t.replica.Confirm(theirs, string(peer))
	own, source := t.replica.Current()
	if own.Version <= theirs.Version {
		source = nil
	}
	return encodeConfigStatus(own), source
}

func encodeConfigStatus(s port.ConfigStatus) *cellpb.ConfigStatus {
	m := &cellpb.ConfigStatus{Version: s.Version}
	if !s.Confirmed.IsZero() {
		ms := time.Since(s.Confirmed).Milliseconds()
		m.ConfirmedMs = &ms
	}
	return m
}

// maxConfirmedAge bounds the age of evidence that a peer states.
const maxConfirmedAge = 24 * time.Hour

// decodeConfigStatus counts the age from now. The time on the way makes evidence look younger, by at most pingTimeout.
func decodeConfigStatus(m *cellpb.ConfigStatus) port.ConfigStatus {
	s := port.ConfigStatus{Version: m.GetVersion()}
	if m != nil && m.ConfirmedMs != nil {
		s.Confirmed = time.Now().Add(-millis(min(max(m.GetConfirmedMs(), 0), maxConfirmedAge.Milliseconds())))
	}
	return s
}
