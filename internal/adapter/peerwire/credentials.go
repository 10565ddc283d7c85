package peerwire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/fault"
)

// CredentialFiles name the PEM files for TLS between processes. The certificate must name the process id as a DNS name.
type CredentialFiles struct {
	Certificate string // of this process, for client and server
	Key         string
	CA          string // certificates that sign those of peers
}

// Credentials are the certificate, key and CA of a process. They are read again when a file changes: a new session uses
// the new ones, and open sessions go on.
type Credentials struct {
	files CredentialFiles
	log   *slog.Logger

	mu      sync.Mutex
	read    [3]fileState
	pair    tls.Certificate
	signers *x509.CertPool
}

// fileState tells whether a file changed since it was read.
type fileState struct {
	changed time.Time
	size    int64
}

// LoadCredentials reads the files. It fails with Invalid; the error names the file.
func LoadCredentials(files CredentialFiles, log *slog.Logger) (*Credentials, error) {
	c := &Credentials{files: files, log: log}
	state, err := c.state()
	if err != nil {
		return nil, err
	}
	return c, c.load(state)
}

func (c *Credentials) state() ([3]fileState, error) {
	var state [3]fileState
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return state, fault.WrapAs(fault.Invalid, err, "TLS file")
		}
		state[i] = fileState{info.ModTime(), info.Size()}
	}
	return state, nil
}

// load reads the files. The caller holds the lock, or is the only one to know c.
func (c *Credentials) load(state [3]fileState) error {
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fault.WrapAs(fault.Invalid, err, "TLS certificate "+c.files.Certificate)
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return fault.WrapAs(fault.Invalid, err, "TLS CA")
	}
	signers := x509.NewCertPool()
	if !signers.AppendCertsFromPEM(pem) {
		return fault.New(fault.Invalid, "TLS CA %s holds no certificate", c.files.CA)
	}
	c.pair, c.signers, c.read = pair, signers, state
	return nil
}

// current returns the certificate and the signers, read again if a file changed. Files that are being replaced may not
// fit together for a moment; then the ones in use stay.
func (c *Credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.state()
	if err == nil && state != c.read {
		if err = c.load(state); err == nil {
			c.log.Info("TLS files were read again")
		}
	}
	if err != nil {
		c.log.Warn("TLS files not read; the ones in use stay", "error", err)
	}
	return c.pair, c.signers
}

// secure wraps a connection in TLS and completes the handshake. peer is the process that was dialed; it is empty for an
// accepted connection, whose client is checked by checkPeer once it has told its id.
func (c *Credentials) secure(ctx context.Context, conn net.Conn, peer ident.ProcessID) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	pair, signers := c.current()
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	var secured *tls.Conn
	if peer != "" {
		config.RootCAs, config.ServerName = signers, string(peer)
		secured = tls.Client(conn, config)
	} else {
		config.ClientCAs, config.ClientAuth = signers, tls.RequireAndVerifyClientCert
		secured = tls.Server(conn, config)
	}
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fault.WrapAs(fault.Unauthorized, err, "TLS")
	}
	return secured, nil
}

// checkPeer refuses a peer whose certificate does not name the id that it told.
func checkPeer(conn net.Conn, id ident.ProcessID) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := secured.ConnectionState().PeerCertificates[0].VerifyHostname(string(id)); err != nil {
		return fault.WrapAs(fault.Unauthorized, err, "certificate of the peer")
	}
	return nil
}

// secure makes a connection ready for the first message; plain without credentials. peer is as for Credentials.secure.
func (t *Transport) secure(ctx context.Context, conn net.Conn, peer ident.ProcessID) (net.Conn, error) {
	counted := countedConn{conn, &t.traffic}
	if t.credentials == nil {
		return counted, nil
	}
	return t.credentials.secure(ctx, counted, peer)
}
