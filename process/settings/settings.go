// Package settings reads and checks the JSON settings of a process. Settings live as long as the process.
package settings

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/request/strictjson"
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
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
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
	return Settings{SessionRenewMS: 1000, SessionTermMS: 4000, LeaseTermMS: 15_000, ShutdownMS: 20_000, LogLevel: "info"}
}

// SessionRenew returns the time between renewals of the session row.
func (s Settings) SessionRenew() time.Duration { return millis(s.SessionRenewMS) }

// SessionTerm returns the term of a session.
func (s Settings) SessionTerm() time.Duration { return millis(s.SessionTermMS) }

// LeaseTerm returns the term of leases on workers.
func (s Settings) LeaseTerm() time.Duration { return millis(s.LeaseTermMS) }

// Shutdown returns the bound on a graceful shutdown.
func (s Settings) Shutdown() time.Duration { return millis(s.ShutdownMS) }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Error lists every problem of a settings file.
type Error struct {
	// Problems are lines that start with the path of the setting.
	Problems []string
}

// Error implements error.
func (e *Error) Error() string { return "settings: " + strings.Join(e.Problems, "; ") }

// Load reads a settings file and checks it whole, including that the files it names can be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return parse(data, Settings.checkFiles)
}

// Parse decodes settings and checks them whole. The error is an *Error with every problem; unknown and duplicate names
// are problems too.
func Parse(data []byte) (Settings, error) { return parse(data, nil) }

func parse(data []byte, extraCheck func(Settings) []string) (Settings, error) {
	s := Default()
	var problems []string
	decoded := strictjson.Decode(data, &s)
	for _, p := range decoded {
		problems = append(problems, p.String())
	}
	if len(decoded) > 0 {
		// The values are checked as far as they can be read, so that one run shows all problems: a member of a wrong type
		// does not keep encoding/json from decoding the others.
		s = Default()
		_ = json.Unmarshal(data, &s)
	}
	for _, line := range s.Check() {
		if !alreadyReported(decoded, line) {
			problems = append(problems, line)
		}
	}
	if extraCheck != nil && len(problems) == 0 {
		problems = extraCheck(s)
	}
	if len(problems) > 0 {
		return Settings{}, &Error{Problems: problems}
	}
	return s, nil
}

// alreadyReported reports whether a problem with the setting of a line was found before.
func alreadyReported(reported []strictjson.Problem, line string) bool {
	path, _, _ := strings.Cut(line, ":")
	for _, p := range reported {
		if p.Path == path || p.Path == "" {
			return true
		}
	}
	return false
}
