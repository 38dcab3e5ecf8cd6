package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"

	"github.com/sirupsen/logrus"
)

// Limits of the settings, in milliseconds.
const (
	minRenewIntervalMS, maxRenewIntervalMS = 50, 10_000
	// minRenewalsPerSession is the minimum ratio of session_term_ms to session_renew_ms; with 3, a session survives two lost
	// renewals.
	minRenewalsPerSession        = 3
	maxTimeoutMS                 = 60_000
	minLeaseMS, maxLeaseMS       = 2000, 120_000
	minShutdownMS, maxShutdownMS = 100, 600_000
)

// namePattern restricts names to what is usable in keys of the table service and in metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// problems collects error lines, each starting with the path of a setting.
type problems []string

func (p *problems) addf(path, format string, args ...any) {
	*p = append(*p, path+": "+fmt.Sprintf(format, args...))
}

func (p *problems) checkName(path, value string) {
	if !namePattern.MatchString(value) {
		p.addf(path, "expected 1 to 64 letters, digits, dots, hyphens or underscores, starting with a letter or digit, got %q", value)
	}
}

func (p *problems) checkAddress(path, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		p.addf(path, "expected an IP address with a port from 0 to 65535, such as 127.0.0.1:7411, got %q", value)
	}
	return address, err == nil
}

func (p *problems) checkMillis(path string, value, low, high int64) {
	if value < low || value > high {
		p.addf(path, "expected %d to %d milliseconds, got %d", low, high, value)
	}
}

func (p *problems) checkFile(path, value string) {
	if value == "" {
		p.addf(path, "expected the path of a PEM file")
	}
}

// Check validates the settings. It returns one line for each problem, starting with the path of the setting.
func (s Settings) Check() []string {
	var p problems
	p.checkName("instance", s.Instance)
	p.checkName("region", s.Region)
	p.checkName("zone", s.Zone)
	s.checkAddresses(&p)
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		p.addf("platform_url", "expected a URL such as http://127.0.0.1:7400, got %q", s.PlatformURL)
	}
	p.checkMillis("session_renew_ms", s.SessionRenewMS, minRenewIntervalMS, maxRenewIntervalMS)
	p.checkMillis("session_term_ms", s.SessionTermMS, minRenewalsPerSession*s.SessionRenewMS, maxTimeoutMS)
	p.checkMillis("lease_term_ms", s.LeaseTermMS, minLeaseMS, maxLeaseMS)
	p.checkMillis("shutdown_ms", s.ShutdownMS, minShutdownMS, maxShutdownMS)
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		p.addf("log_level", "expected debug, info, warn or error, got %q", s.LogLevel)
	}
	return p
}

func (s Settings) checkAddresses(p *problems) {
	http, httpOK := p.checkAddress("http_address", s.HTTPAddress)
	peer, peerOK := p.checkAddress("peer_address", s.PeerAddress)
	if httpOK && peerOK && http == peer && http.Port() != 0 {
		p.addf("peer_address", "expected an address other than http_address, got %q for both", s.PeerAddress)
	}
	switch {
	case peerOK && peer.Addr().IsUnspecified():
		p.addf("peer_address", "expected an address that other instances can reach, got %q", s.PeerAddress)
	case s.PeerTLS != nil:
		p.checkFile("peer_tls.cert_file", s.PeerTLS.CertFile)
		p.checkFile("peer_tls.key_file", s.PeerTLS.KeyFile)
		p.checkFile("peer_tls.ca_file", s.PeerTLS.CAFile)
	case peerOK && !peer.Addr().IsLoopback():
		p.addf("peer_tls", "required, since peer_address %q is not a loopback address", s.PeerAddress)
	}
}

// checkFiles returns one line for each file that cannot be read.
func (s Settings) checkFiles() []string {
	if s.PeerTLS == nil {
		return nil
	}
	var p problems
	for path, name := range map[string]string{
		"peer_tls.cert_file": s.PeerTLS.CertFile, "peer_tls.key_file": s.PeerTLS.KeyFile, "peer_tls.ca_file": s.PeerTLS.CAFile,
	} {
		if _, err := os.ReadFile(name); err != nil {
			p.addf(path, "expected a readable PEM file: %s", strings.TrimPrefix(err.Error(), "open "))
		}
	}
	return p
}

// Level returns the log level, or the info level if LogLevel is not valid.
func (s Settings) Level() logrus.Level {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}
