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

// authority signs certificates of processes.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
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
	return &authority{certificate, key}
}

// issue writes the files of a process.
func (a *authority) issue(t *testing.T, dir string, id ident.ProcessID) CredentialFiles {
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

func load(t *testing.T, files CredentialFiles) *Credentials {
	t.Helper()
	c, err := LoadCredentials(files, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestMutualTLS guards the wire against processes that are not of the cell, or not the process that they say they are.
func TestMutualTLS(t *testing.T) {
	cell, other := newAuthority(t), newAuthority(t)
	b := startSecured(t, "b", load(t, cell.issue(t, t.TempDir(), "b")))
	tests := map[string]struct {
		credentials *Credentials
		want        bool
	}{
		"of the cell":               {load(t, cell.issue(t, t.TempDir(), "a")), true},
		"of another authority":      {load(t, other.issue(t, t.TempDir(), "a")), false},
		"with the certificate of c": {load(t, cell.issue(t, t.TempDir(), "c")), false},
		"plain":                     {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := startSecured(t, "a", test.credentials)
			a.connect(t, b.listener.Addr().String())
			works := false
			for end := time.Now().Add(time.Second); !works && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				outcome, err := a.Execute(context.Background(), "b", spec("one", "one"))
				works = err == nil && string(outcome.Output) == "one"
			}
			if works != test.want {
				t.Errorf("a call was answered: %v; want %v", works, test.want)
			}
		})
	}
}

// TestRotation guards against a restart for new certificates: when the cell changes its authority, a process uses the
// new files for the next session, and files that do not fit together leave the old ones in use.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	before, after := newAuthority(t), newAuthority(t)
	files := before.issue(t, dir, "b")
	b := startSecured(t, "b", load(t, files))
	if err := os.WriteFile(files.Key, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	a := startSecured(t, "a", load(t, before.issue(t, t.TempDir(), "a")))
	a.connect(t, b.listener.Addr().String())
	eventually(t, 3*time.Second, "connected with the old files", func() bool { _, err := b.session("a"); return err == nil })
	after.issue(t, dir, "b")
	c := startSecured(t, "aa", load(t, after.issue(t, t.TempDir(), "aa")))
	c.connect(t, b.listener.Addr().String())
	eventually(t, 3*time.Second, "connected with the new files", func() bool { _, err := b.session("aa"); return err == nil })
	if _, err := b.session("a"); err != nil {
		t.Error("the session of the old files ended")
	}
}
