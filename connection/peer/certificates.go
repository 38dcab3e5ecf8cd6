package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certificateCheckInterval is the minimum time between checks of the modification times of the certificate files.
const certificateCheckInterval = time.Second

// Certificates holds the certificate and key of an instance and the CA certificates for mutual TLS with its peers. The
// files are reloaded when they change, so that certificates can be replaced without a restart.
type Certificates struct {
	certFile, keyFile, caFile string

	// mu protects the fields below.
	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	cert      tls.Certificate
	caPool    *x509.CertPool
}

// LoadCertificates reads PEM files: the certificate and key of this instance, and the certificates of the CA that signs
// the certificates of all instances. The certificate of an instance must contain its IP address and allow both server
// and client authentication.
func LoadCertificates(certFile, keyFile, caFile string) (*Certificates, error) {
	c := &Certificates{certFile: certFile, keyFile: keyFile, caFile: caFile}
	if err := c.load(c.statModTimes()); err != nil {
		return nil, err
	}
	return c, nil
}

// statModTimes returns the modification times of the certificate, key and CA files, and the zero time for a file that
// cannot be read.
func (c *Certificates) statModTimes() (modTimes [3]time.Time) {
	for i, name := range []string{c.certFile, c.keyFile, c.caFile} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// load reads the files and stores their modification times. Callers hold c.mu, except for the first load.
func (c *Certificates) load(modTimes [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load peer certificate %s with key %s", c.certFile, c.keyFile)
	}
	caPEM, err := os.ReadFile(c.caFile)
	if err != nil {
		return errors.Wrap(err, "load CA certificates for peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return errors.Newf("load CA certificates for peers: %s contains no valid PEM certificate", c.caFile)
	}
	c.cert, c.caPool, c.modTimes = cert, pool, modTimes
	return nil
}

// current returns the certificate and the CA pool, after reloading files that changed. If the changed files cannot be
// loaded, for instance because only some of them have been replaced, the previous certificates stay in use.
func (c *Certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= certificateCheckInterval {
		c.checkedAt = now
		if modTimes := c.statModTimes(); modTimes != c.modTimes {
			_ = c.load(modTimes)
		}
	}
	return c.cert, c.caPool
}

// clientConfig returns the TLS configuration for a connection to a peer.
func (c *Certificates) clientConfig() *tls.Config {
	cert, pool := c.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool}
}

// serverConfig returns the TLS configuration for accepted connections. Each handshake uses the current certificates.
func (c *Certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := c.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
			}, nil
		},
	}
}
