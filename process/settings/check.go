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

// Bounds of the settings, in milliseconds.
const (
	minRenewMS, maxRenewMS = 50, 10_000
	// renewsPerTerm is how many renewals a session term must allow, so that two lost ones do not end a session.
	renewsPerTerm                = 3
	maxTermMS                    = 60_000
	minLeaseMS, maxLeaseMS       = 2000, 120_000
	minShutdownMS, maxShutdownMS = 100, 600_000
)

// namePattern keeps names usable in keys of the table service and in labels of metrics.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// problems collects lines that start with the path of a setting.
type problems []string

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, path+": "+fmt.Sprintf(format, args...))
}

func (p *problems) name(path, value string) {
	if !namePattern.MatchString(value) {
		p.add(path, "expected 1 to 64 letters, digits, dots, hyphens or underscores, starting with a letter or digit, got %q", value)
	}
}

func (p *problems) address(path, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		p.add(path, "expected an IP address with a port from 0 to 65535, such as 127.0.0.1:7411, got %q", value)
	}
	return address, err == nil
}

func (p *problems) within(path string, value, low, high int64) {
	if value < low || value > high {
		p.add(path, "expected %d to %d milliseconds, got %d", low, high, value)
	}
}

func (p *problems) file(path, value string) {
	if value == "" {
		p.add(path, "expected the path of a PEM file")
	}
}

// Check returns one line for each problem, starting with the path of the setting.
func (s Settings) Check() []string {
	var p problems
	p.name("instance", s.Instance)
	p.name("region", s.Region)
	p.name("zone", s.Zone)
	s.checkAddresses(&p)
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		p.add("platform_url", "expected a URL such as http://127.0.0.1:7400, got %q", s.PlatformURL)
	}
	p.within("session_renew_ms", s.SessionRenewMS, minRenewMS, maxRenewMS)
	p.within("session_term_ms", s.SessionTermMS, renewsPerTerm*s.SessionRenewMS, maxTermMS)
	p.within("lease_term_ms", s.LeaseTermMS, minLeaseMS, maxLeaseMS)
	p.within("shutdown_ms", s.ShutdownMS, minShutdownMS, maxShutdownMS)
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		p.add("log_level", "expected debug, info, warn or error, got %q", s.LogLevel)
	}
	return p
}

func (s Settings) checkAddresses(p *problems) {
	http, httpOK := p.address("http_address", s.HTTPAddress)
	peer, peerOK := p.address("peer_address", s.PeerAddress)
	if httpOK && peerOK && http == peer && http.Port() != 0 {
		p.add("peer_address", "expected another address than http_address, got %q for both", s.PeerAddress)
	}
	switch {
	case peerOK && peer.Addr().IsUnspecified():
		p.add("peer_address", "expected an address that other instances can reach, got %q", s.PeerAddress)
	case s.PeerTLS != nil:
		p.file("peer_tls.cert_file", s.PeerTLS.CertFile)
		p.file("peer_tls.key_file", s.PeerTLS.KeyFile)
		p.file("peer_tls.ca_file", s.PeerTLS.CAFile)
	case peerOK && !peer.Addr().IsLoopback():
		p.add("peer_tls", "required, since peer_address %q is not a loopback address", s.PeerAddress)
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
			p.add(path, "expected a readable PEM file: %s", strings.TrimPrefix(err.Error(), "open "))
		}
	}
	return p
}

// Level returns the lowest level that is logged.
func (s Settings) Level() logrus.Level {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}
