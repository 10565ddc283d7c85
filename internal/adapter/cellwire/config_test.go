package cellwire

import (
	"log/slog"
	"testing"
	"time"

	"skylarkstall/internal/adapter/cellwire/cellpb"
	"skylarkstall/internal/app/routing"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/port"
)

// evidenceProcess is a process with version 7 of the configuration and a clock of its own.
type evidenceProcess struct {
	*Transport
	table *route.Table
	now   time.Time
}

func newEvidenceProcess(clockStart int64) *evidenceProcess {
	p := &evidenceProcess{table: &route.Table{}, now: time.Unix(clockStart, 0)}
	decode := func(source []byte) (route.Config, error) { return route.Config{Version: 7, Source: source}, nil }
	replica := routing.NewReplica(p.table, decode, func() time.Time { return p.now }, slog.New(slog.DiscardHandler))
	replica.Apply([]byte("7"), "store")
	p.Transport = &Transport{replica: replica}
	return p
}

func (p *evidenceProcess) confirm(age time.Duration) {
	p.replica.Confirm(port.ConfigStatus{Version: 7, Confirmed: p.now.Add(-age)}, "store")
}

// age returns the age of the evidence, or -1 if there is none.
func (p *evidenceProcess) age() time.Duration {
	age, ok := p.table.Confirmed().Age(p.now)
	if !ok {
		return -1
	}
	return age
}

func (p *evidenceProcess) state(echo int64) *cellpb.ConfigStatus {
	current, _ := p.replica.Current()
	m := encodeConfigStatus(current, p.now)
	m.EchoNs = echo
	return m
}

func advance(d time.Duration, processes ...*evidenceProcess) {
	for _, p := range processes {
		p.now = p.now.Add(d)
	}
}

// TestEvidenceOfReply guards against evidence that is younger than it was, because the reply to a ping was long on its way or one of the
// processes was paused.
func TestEvidenceOfReply(t *testing.T) {
	follower, leader := newEvidenceProcess(5_000), newEvidenceProcess(9_000)
	leader.confirm(700 * time.Millisecond)
	sentAt := follower.now
	advance(time.Second, follower, leader) // the ping is on its way
	status, _ := leader.answerConfigStatus("f", follower.state(0))
	advance(3*time.Second, follower, leader) // the reply is on its way
	follower.replica.Confirm(decodeConfigStatus(status, sentAt), "l")
	if want := 700*time.Millisecond + 5*time.Second; follower.age() != want {
		t.Errorf("evidence is %v old, want %v: its age at the time of the reply, and the time since the ping", follower.age(), want)
	}
}

// TestEvidenceOfPing guards against the same with a ping, which states the evidence of its sender, and against a ping whose time on the way
// cannot be bounded.
func TestEvidenceOfPing(t *testing.T) {
	follower, leader := newEvidenceProcess(9_000), newEvidenceProcess(5_000)
	reply, _ := leader.answerConfigStatus("f", follower.state(0))
	advance(time.Second, follower, leader)
	follower.confirm(200 * time.Millisecond)
	withoutEcho, withEcho := follower.state(0), follower.state(reply.GetClockNs())
	future := follower.state(leader.now.Add(time.Hour).UnixNano())
	old := follower.state(reply.GetClockNs())
	old.EvidenceMs = nil                     // as an earlier version states it
	advance(3*time.Second, follower, leader) // the ping is on its way
	for name, ping := range map[string]*cellpb.ConfigStatus{"without an echo": withoutEcho, "with an echo of the future": future, "of an earlier version": old} {
		if leader.answerConfigStatus("f", ping); leader.age() >= 0 {
			t.Errorf("a ping %s counts as evidence that is %v old", name, leader.age())
		}
	}
	leader.answerConfigStatus("f", withEcho)
	if want := 200*time.Millisecond + 4*time.Second; leader.age() != want {
		t.Errorf("evidence is %v old, want %v: its age in the ping, and the time since the reply that the ping echoes", leader.age(), want)
	}
}

// TestNegativeAge guards against a peer that states evidence of the future.
func TestNegativeAge(t *testing.T) {
	ms, now := int64(-5000), time.Unix(9_000, 0)
	if status := decodeConfigStatus(&cellpb.ConfigStatus{Version: 7, EvidenceMs: &ms}, now); status.Confirmed.After(now) {
		t.Errorf("evidence of %v at %v", status.Confirmed, now)
	}
}
