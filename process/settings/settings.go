// Package settings reads and checks the JSON settings of a process. Settings live as long as the process.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the settings of one instance.
type Settings struct {
	// Instance is the name of this instance, unique in the cell.
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Zone is the availability zone of this instance.
	Zone string `json:"zone"`
	// HTTPAddress is host:port on which callers are served.
	HTTPAddress string `json:"http_address"`
	// PeerAddress is host:port on which other instances are served.
	PeerAddress string `json:"peer_address"`
	// PeerTLS names the certificates for mutual TLS with other instances. It may be left out only for a loopback address.
	PeerTLS *PeerTLS `json:"peer_tls,omitempty"`
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string `json:"platform_url"`
	// SessionRenewMS is the time between renewals of the session row, in milliseconds.
	SessionRenewMS int64 `json:"session_renew_ms,omitempty"`
	// SessionTermMS is how long a session row must stay unchanged before it has expired, in milliseconds.
	SessionTermMS int64 `json:"session_term_ms,omitempty"`
	// LeaseTermMS is the term of leases on workers, in milliseconds.
	LeaseTermMS int64 `json:"lease_term_ms,omitempty"`
	// ShutdownMS bounds a graceful shutdown, in milliseconds.
	ShutdownMS int64 `json:"shutdown_ms,omitempty"`
}

// PeerTLS names PEM files, which are read again when they change.
type PeerTLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the authority that signs the certificates of all instances.
	CAFile string `json:"ca_file"`
}

// Default returns the values of settings that a file leaves out.
func Default() Settings {
	return Settings{SessionRenewMS: 1000, SessionTermMS: 4000, LeaseTermMS: 15_000, ShutdownMS: 20_000}
}

// SessionRenew returns the time between renewals of the session row.
func (s Settings) SessionRenew() time.Duration { return ms(s.SessionRenewMS) }

// SessionTerm returns the term of a session.
func (s Settings) SessionTerm() time.Duration { return ms(s.SessionTermMS) }

// LeaseTerm returns the term of leases on workers.
func (s Settings) LeaseTerm() time.Duration { return ms(s.LeaseTermMS) }

// Shutdown returns the bound on a graceful shutdown.
func (s Settings) Shutdown() time.Duration { return ms(s.ShutdownMS) }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Load reads a settings file and checks it whole.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes settings and checks them whole. The error lists every problem with the path of the setting.
func Parse(data []byte) (Settings, error) {
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	if problems := s.Check(); len(problems) > 0 {
		return Settings{}, errors.Newf("settings: %s", strings.Join(problems, "; "))
	}
	return s, nil
}

// loopback reports whether host:port names a loopback address.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && (host == "localhost" || (ip != nil && ip.IsLoopback()))
}

// Check returns one line for each problem, starting with the path of the setting.
func (s Settings) Check() []string {
	var problems []string
	require := func(path, value string) {
		if value == "" {
			problems = append(problems, path+": must not be empty")
		}
	}
	address := func(path, value string) {
		if _, _, err := net.SplitHostPort(value); err != nil {
			problems = append(problems, fmt.Sprintf("%s: expected host:port, got %q", path, value))
		}
	}
	within := func(path string, value, low, high int64) {
		if value < low || value > high {
			problems = append(problems, fmt.Sprintf("%s: expected %d to %d milliseconds, got %d", path, low, high, value))
		}
	}
	require("instance", s.Instance)
	require("region", s.Region)
	require("zone", s.Zone)
	require("platform_url", s.PlatformURL)
	address("http_address", s.HTTPAddress)
	address("peer_address", s.PeerAddress)
	switch {
	case s.PeerTLS != nil:
		require("peer_tls.cert_file", s.PeerTLS.CertFile)
		require("peer_tls.key_file", s.PeerTLS.KeyFile)
		require("peer_tls.ca_file", s.PeerTLS.CAFile)
	case !loopback(s.PeerAddress):
		problems = append(problems, fmt.Sprintf("peer_tls: required, since peer_address %q is not a loopback address", s.PeerAddress))
	}
	within("session_renew_ms", s.SessionRenewMS, 50, 10_000)
	within("session_term_ms", s.SessionTermMS, 3*s.SessionRenewMS, 60_000)
	within("lease_term_ms", s.LeaseTermMS, 2000, 120_000)
	within("shutdown_ms", s.ShutdownMS, 100, 600_000)
	return problems
}
