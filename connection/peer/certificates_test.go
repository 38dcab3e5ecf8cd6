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

// authority signs certificates for loopback peers.
type authority struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
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
	return authority{cert: cert, der: der, key: key}
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a certificate, its key and the authority to dir.
func (a authority) issue(t *testing.T, dir string, serial int64) {
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

func load(t *testing.T, dir string) *Certificates {
	t.Helper()
	c, err := LoadCertificates(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	return c
}

// TestMutualTLS guards against peers that are accepted without a certificate of the authority, on either side.
func TestMutualTLS(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	serverDir, clientDir, otherDir := t.TempDir(), t.TempDir(), t.TempDir()
	trusted.issue(t, serverDir, 2)
	trusted.issue(t, clientDir, 3)
	other.issue(t, otherDir, 4)
	address := serve(t, Options{Certificates: load(t, serverDir)}, echo)

	_, err := client(t, Options{Certificates: load(t, clientDir)}).Call(context.Background(), address, forward(nil))
	assert.NilError(t, err)
	for name, opts := range map[string]Options{"other authority": {Certificates: load(t, otherDir)}, "plain": {}} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := client(t, opts).Call(ctx, address, forward(nil))
		cancel()
		assert.Assert(t, err != nil, name)
	}
}

// TestCertificatesReload guards against a restart being needed when certificates are replaced, and against the loss of
// the certificate in force when a replacement cannot be read.
func TestCertificatesReload(t *testing.T) {
	dir := t.TempDir()
	newAuthority(t).issue(t, dir, 2)
	c := load(t, dir)
	before, _ := c.current()
	next := newAuthority(t)
	c.mu.Lock()
	c.checked = time.Time{}
	c.mu.Unlock()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600))
	kept, _ := c.current()
	assert.DeepEqual(t, kept.Certificate, before.Certificate)

	next.issue(t, dir, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		now, _ := c.current()
		if string(now.Certificate[0]) == string(before.Certificate[0]) {
			return poll.Continue("the old certificate is in force")
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

// TestPlainTextOnlyOnLoopback guards against unencrypted messages between machines.
func TestPlainTextOnlyOnLoopback(t *testing.T) {
	_, err := client(t, Options{}).Call(context.Background(), "192.0.2.1:7000", forward(nil))
	assert.ErrorContains(t, err, "no certificates are configured")
	l, err := net.Listen("tcp", "0.0.0.0:0")
	assert.NilError(t, err)
	defer l.Close()
	err = client(t, Options{}).Serve(context.Background(), l, echo)
	assert.ErrorContains(t, err, "no certificates are configured")
}
