package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certificateCheck is the shortest time between looks at the certificate files.
const certificateCheck = time.Second

// Certificates are the certificate, key and authority of an instance for mutual TLS with its peers. The files are read
// again when they change, so that certificates are replaced without a restart.
type Certificates struct {
	certFile, keyFile, caFile string

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	cert    tls.Certificate
	pool    *x509.CertPool
}

// LoadCertificates reads PEM files: the certificate and key of this instance, and the authority that signs the
// certificates of all instances. A certificate names the IP address of its instance and allows both server and client
// authentication.
func LoadCertificates(certFile, keyFile, caFile string) (*Certificates, error) {
	c := &Certificates{certFile: certFile, keyFile: keyFile, caFile: caFile}
	if err := c.load(c.modified()); err != nil {
		return nil, err
	}
	return c, nil
}

// modified returns the modification times of the files.
func (c *Certificates) modified() (stamps [3]time.Time) {
	for i, name := range []string{c.certFile, c.keyFile, c.caFile} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// load reads the files. Callers hold c.mu, but for the first load.
func (c *Certificates) load(stamps [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "load peer certificate")
	}
	authority, err := os.ReadFile(c.caFile)
	if err != nil {
		return errors.Wrap(err, "load peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Newf("load peer authority: %s holds no certificate", c.caFile)
	}
	c.cert, c.pool, c.stamps = cert, pool, stamps
	return nil
}

// current returns the certificate and the authority. Files that changed but cannot be read, such as half of a
// replacement, leave the previous ones in force.
func (c *Certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= certificateCheck {
		c.checked = now
		if stamps := c.modified(); stamps != c.stamps {
			_ = c.load(stamps)
		}
	}
	return c.cert, c.pool
}

// client returns the configuration of a connection to a peer.
func (c *Certificates) client() *tls.Config {
	cert, pool := c.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool}
}

// server returns the configuration of accepted connections; each handshake uses the current files.
func (c *Certificates) server() *tls.Config {
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
