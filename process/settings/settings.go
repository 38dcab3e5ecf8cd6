// Package settings reads and validates the JSON settings of a process. Settings do not change while the process runs.
package settings

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/request/strictjson"
)

// Settings holds the settings of one instance.
type Settings struct {
	// Instance is the name of this instance, unique in the cell.
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Zone is the availability zone of this instance.
	Zone string `json:"zone"`
	// HTTPAddress is the listen address for callers, as host:port.
	HTTPAddress string `json:"http_address"`
	// PeerAddress is the listen address for other instances, as host:port.
	PeerAddress string `json:"peer_address"`
	// PeerTLS names the certificates for mutual TLS with other instances. It may be omitted only if PeerAddress is a loopback
	// address.
	PeerTLS *PeerTLS `json:"peer_tls,omitempty"`
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string `json:"platform_url"`
	// SessionRenewMS is the time between renewals of the session row, in milliseconds.
	SessionRenewMS int64 `json:"session_renew_ms,omitempty"`
	// SessionTermMS is how long a session row must stay unchanged before the session expires, in milliseconds.
	SessionTermMS int64 `json:"session_term_ms,omitempty"`
	// LeaseTermMS is the duration of leases on workers, in milliseconds.
	LeaseTermMS int64 `json:"lease_term_ms,omitempty"`
	// ShutdownMS is the timeout of a graceful shutdown, in milliseconds.
	ShutdownMS int64 `json:"shutdown_ms,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// PeerTLS names PEM files, which are reloaded when they change.
type PeerTLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the certificate of the authority that signs the certificates of all instances.
	CAFile string `json:"ca_file"`
}

// Default returns the defaults for settings that a file omits.
func Default() Settings {
	return Settings{SessionRenewMS: 1000, SessionTermMS: 4000, LeaseTermMS: 15_000, ShutdownMS: 20_000, LogLevel: "info"}
}

// SessionRenewInterval returns the time between renewals of the session row.
func (s Settings) SessionRenewInterval() time.Duration { return millis(s.SessionRenewMS) }

// SessionTTL returns how long a session row must stay unchanged before the session expires.
func (s Settings) SessionTTL() time.Duration { return millis(s.SessionTermMS) }

// LeaseDuration returns the duration of leases on workers.
func (s Settings) LeaseDuration() time.Duration { return millis(s.LeaseTermMS) }

// ShutdownTimeout returns the timeout of a graceful shutdown.
func (s Settings) ShutdownTimeout() time.Duration { return millis(s.ShutdownMS) }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Error lists every problem found in settings.
type Error struct {
	// Problems holds one line for each problem, starting with the path of the setting.
	Problems []string
}

// Error implements error.
func (e *Error) Error() string { return "settings: " + strings.Join(e.Problems, "; ") }

// Load reads a settings file and validates it as Parse does. It also checks that the files that the settings name are
// readable.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return parse(data, Settings.checkFiles)
}

// Parse decodes and validates settings. The error is an *Error that lists every problem, including unknown and duplicate
// names.
func Parse(data []byte) (Settings, error) { return parse(data, nil) }

// parse decodes and validates settings. extraCheck, if not nil, runs only if no other problem was found.
func parse(data []byte, extraCheck func(Settings) []string) (Settings, error) {
	s := Default()
	var problems []string
	decoded := strictjson.Decode(data, &s)
	for _, p := range decoded {
		problems = append(problems, p.String())
	}
	if len(decoded) > 0 {
		// The values that can be decoded are still checked, so that one run shows all problems: encoding/json decodes the
		// other members even if one has the wrong type.
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

// alreadyReported reports whether reported has a problem with the setting of a line, or with the document as a whole.
func alreadyReported(reported []strictjson.Problem, line string) bool {
	path, _, _ := strings.Cut(line, ":")
	for _, p := range reported {
		if p.Path == path || p.Path == "" {
			return true
		}
	}
	return false
}
