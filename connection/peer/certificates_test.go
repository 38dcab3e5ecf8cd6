package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testCA is a CA that signs certificates for peers on 127.0.0.1.
type testCA struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return testCA{cert: cert, der: der, key: key}
}

func writePEM(t *testing.T, path, blockType string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
}

// issue writes a new certificate, its key and the CA certificate to dir.
func (a testCA) issue(t *testing.T, dir string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", der)
	writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER)
	writePEM(t, filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.der)
}

func loadCertificates(t *testing.T, dir string) *Certificates {
	t.Helper()
	c, err := LoadCertificates(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	return c
}

// TestMutualTLS guards against accepting a peer, on either side, that has no certificate of the configured CA.
func TestMutualTLS(t *testing.T) {
	trustedCA, otherCA := newTestCA(t), newTestCA(t)
	serverDir, clientDir, otherDir := t.TempDir(), t.TempDir(), t.TempDir()
	trustedCA.issue(t, serverDir, 2)
	trustedCA.issue(t, clientDir, 3)
	otherCA.issue(t, otherDir, 4)
	address := startServer(t, Options{Certificates: loadCertificates(t, serverDir)}, echo)

	_, err := newClient(t, Options{Certificates: loadCertificates(t, clientDir)}).Call(context.Background(), address, forwardRequest(nil))
	assert.NilError(t, err)
	for name, opts := range map[string]Options{"certificate of another CA": {Certificates: loadCertificates(t, otherDir)}, "plain": {}} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := newClient(t, opts).Call(ctx, address, forwardRequest(nil))
		cancel()
		assert.Assert(t, err != nil, name)
	}
}

// TestCertificatesReload guards against replaced certificates that take effect only after a restart, and against losing
// the current certificate when its replacement cannot be read, here because the key file is written only in part. A CA that was
// replaced must not be trusted any more.
func TestCertificatesReload(t *testing.T) {
	dir := t.TempDir()
	newTestCA(t).issue(t, dir, 2)
	c := loadCertificates(t, dir)
	initial, initialPool := c.current()
	replacementCA := newTestCA(t)
	c.mu.Lock()
	c.checkedAt = time.Time{}
	c.mu.Unlock()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600))
	afterPartialWrite, _ := c.current()
	assert.DeepEqual(t, afterPartialWrite.Certificate, initial.Certificate)

	replacementCA.issue(t, dir, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		reloaded, _ := c.current()
		if string(reloaded.Certificate[0]) == string(initial.Certificate[0]) {
			return poll.Continue("the initial certificate is still in use")
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	_, pool := c.current()
	assert.Assert(t, !pool.Equal(initialPool))
}

// TestPlainTextOnlyOnLoopback guards against unencrypted connections between machines when no certificates are
// configured.
func TestPlainTextOnlyOnLoopback(t *testing.T) {
	_, err := newClient(t, Options{}).Call(context.Background(), "192.0.2.1:7000", forwardRequest(nil))
	assert.ErrorContains(t, err, "no certificates are configured")
	l, err := net.Listen("tcp", "0.0.0.0:0")
	assert.NilError(t, err)
	defer l.Close()
	err = newClient(t, Options{}).Serve(context.Background(), l, echo)
	assert.ErrorContains(t, err, "no certificates are configured")
}

// oneConnListener accepts one connection and then fails.
type oneConnListener struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l *oneConnListener) Accept() (net.Conn, error) {
	conn := l.conn
	l.conn = nil
	if conn == nil {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// TestPanicInHandshakeCostsTheConnection guards against a panic in the handshake of an accepted connection that ends the process.
func TestPanicInHandshakeCostsTheConnection(t *testing.T) {
	dir := t.TempDir()
	newTestCA(t).issue(t, dir, 2)
	panics := make(chan any, 1)
	server := NewTransport(Options{Certificates: loadCertificates(t, dir), OnPanic: func(value any, _ []byte) { panics <- value }})
	defer server.Close()
	local, remote := net.Pipe()
	defer remote.Close()
	begin := make(chan struct{})
	close(begin)
	err := server.Serve(t.Context(), &oneConnListener{conn: panickingConn{local, begin}}, echo)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, <-panics, any("unexpected"))
}
