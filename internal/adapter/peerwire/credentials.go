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

// CredentialFiles are the paths of the PEM files for TLS between processes. The certificate must contain the process id
// as a DNS name.
type CredentialFiles struct {
	Certificate string // of this process, for client and server
	Key         string
	CA          string // CA certificates for verifying the certificates of peers
}

// Credentials are the certificate, key and CA certificates of a process. They are reloaded when a file changes: new
// sessions use the new ones, and open sessions are not affected.
type Credentials struct {
	files CredentialFiles
	log   *slog.Logger

	mu          sync.Mutex
	loaded      [3]fileState
	certificate tls.Certificate
	caPool      *x509.CertPool
}

// fileState is compared to detect a change of a file since it was loaded.
type fileState struct {
	modTime time.Time
	size    int64
}

// LoadCredentials loads the files. It fails with Invalid; the error contains the path of the file.
func LoadCredentials(files CredentialFiles, log *slog.Logger) (*Credentials, error) {
	c := &Credentials{files: files, log: log}
	state, err := c.statFiles()
	if err != nil {
		return nil, err
	}
	return c, c.load(state)
}

func (c *Credentials) statFiles() ([3]fileState, error) {
	var state [3]fileState
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return state, fault.WrapAs(fault.Invalid, err, "stat TLS file")
		}
		state[i] = fileState{info.ModTime(), info.Size()}
	}
	return state, nil
}

// load reads the files. The caller must hold c.mu unless no other goroutine has access to c yet.
func (c *Credentials) load(state [3]fileState) error {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fault.WrapAs(fault.Invalid, err, "load TLS certificate "+c.files.Certificate)
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return fault.WrapAs(fault.Invalid, err, "read TLS CA file")
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(pem) {
		return fault.New(fault.Invalid, "TLS CA file %s contains no valid certificate", c.files.CA)
	}
	c.certificate, c.caPool, c.loaded = certificate, caPool, state
	return nil
}

// current returns the certificate and the CA pool, reloaded if a file changed. While the files are being replaced they
// may not match; then the loaded ones stay in use.
func (c *Credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.statFiles()
	if err == nil && state != c.loaded {
		if err = c.load(state); err == nil {
			c.log.Info("TLS files reloaded")
		}
	}
	if err != nil {
		c.log.Warn("reloading the TLS files failed; the loaded ones stay in use", "error", err)
	}
	return c.certificate, c.caPool
}

// secure wraps a connection in TLS and completes the handshake. peer is the process that was dialed; it is empty for an
// accepted connection, whose client is checked by verifyPeerID after it has sent its id.
func (c *Credentials) secure(ctx context.Context, conn net.Conn, peer ident.ProcessID) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	certificate, caPool := c.current()
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	var secured *tls.Conn
	if peer != "" {
		config.RootCAs, config.ServerName = caPool, string(peer)
		secured = tls.Client(conn, config)
	} else {
		config.ClientCAs, config.ClientAuth = caPool, tls.RequireAndVerifyClientCert
		secured = tls.Server(conn, config)
	}
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fault.WrapAs(fault.Unauthorized, err, "TLS handshake")
	}
	return secured, nil
}

// verifyPeerID fails if the certificate of the peer does not contain the id that the peer has sent.
func verifyPeerID(conn net.Conn, id ident.ProcessID) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := secured.ConnectionState().PeerCertificates[0].VerifyHostname(string(id)); err != nil {
		return fault.WrapAs(fault.Unauthorized, err, "verify the certificate of the peer")
	}
	return nil
}

// secure prepares a connection for the handshake: it counts the traffic and adds TLS unless the transport has no
// credentials. peer is as for Credentials.secure.
func (t *Transport) secure(ctx context.Context, conn net.Conn, peer ident.ProcessID) (net.Conn, error) {
	counted := countedConn{conn, &t.counters}
	if t.credentials == nil {
		return counted, nil
	}
	return t.credentials.secure(ctx, counted, peer)
}
