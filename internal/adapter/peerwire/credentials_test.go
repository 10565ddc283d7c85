package peerwire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"skylarkstall/internal/domain/ident"
)

// certificateAuthority signs the certificates of processes.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "cell"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &certificateAuthority{certificate, key}
}

// issue writes the certificate, key and CA files of a process.
func (a *certificateAuthority) issue(t *testing.T, dir string, id ident.ProcessID) CredentialFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{string(id)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := CredentialFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	write := func(name, kind string, bytes []byte) {
		if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(files.Certificate, "CERTIFICATE", der)
	write(files.Key, "PRIVATE KEY", secret)
	write(files.CA, "CERTIFICATE", a.certificate.Raw)
	return files
}

func loadCredentials(t *testing.T, files CredentialFiles) *Credentials {
	t.Helper()
	c, err := LoadCredentials(files, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestMutualTLS checks that a process can connect only with a certificate that is signed by the cell's CA and contains
// the id that the process sends.
func TestMutualTLS(t *testing.T) {
	cell, other := newCertificateAuthority(t), newCertificateAuthority(t)
	b := startProcessWithTLS(t, "b", loadCredentials(t, cell.issue(t, t.TempDir(), "b")))
	tests := map[string]struct {
		credentials *Credentials
		want        bool
	}{
		"of the cell":               {loadCredentials(t, cell.issue(t, t.TempDir(), "a")), true},
		"of another authority":      {loadCredentials(t, other.issue(t, t.TempDir(), "a")), false},
		"with the certificate of c": {loadCredentials(t, cell.issue(t, t.TempDir(), "c")), false},
		"plain":                     {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := startProcessWithTLS(t, "a", test.credentials)
			a.connect(t, b.listener.Addr().String())
			succeeded := false
			for end := time.Now().Add(time.Second); !succeeded && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				outcome, err := a.Execute(context.Background(), "b", executeCall("one", "one"))
				succeeded = err == nil && string(outcome.Output) == "one"
			}
			if succeeded != test.want {
				t.Errorf("call succeeded: %v; want %v", succeeded, test.want)
			}
		})
	}
}

// TestRotation checks that certificates can be replaced without a restart: after a change of the CA, a process uses the
// new files for the next session and keeps open sessions. While the files do not match, the old ones stay in use.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	before, after := newCertificateAuthority(t), newCertificateAuthority(t)
	files := before.issue(t, dir, "b")
	b := startProcessWithTLS(t, "b", loadCredentials(t, files))
	if err := os.WriteFile(files.Key, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	a := startProcessWithTLS(t, "a", loadCredentials(t, before.issue(t, t.TempDir(), "a")))
	a.connect(t, b.listener.Addr().String())
	eventually(t, 3*time.Second, "connected with the old files", func() bool { _, err := b.session("a"); return err == nil })
	after.issue(t, dir, "b")
	c := startProcessWithTLS(t, "aa", loadCredentials(t, after.issue(t, t.TempDir(), "aa")))
	c.connect(t, b.listener.Addr().String())
	eventually(t, 3*time.Second, "connected with the new files", func() bool { _, err := b.session("aa"); return err == nil })
	if _, err := b.session("a"); err != nil {
		t.Error("the session with the old files was closed")
	}
}
