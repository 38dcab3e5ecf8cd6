package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/request/strictjson"
)

// Node holds the settings of an instance of a cell on a platform.
type Node struct {
	// Instance is the name of this instance, unique in the cell.
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Zone is the availability zone of this instance.
	Zone string `json:"zone"`
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the listen addresses, as host:port, for callers, the
	// platform's readiness probes, other instances and metrics scrapers.
	CallerAddress  string `json:"caller_address"`
	ReadyAddress   string `json:"ready_address"`
	PeerAddress    string `json:"peer_address"`
	MetricsAddress string `json:"metrics_address,omitempty"`
	// StoreAddress, AdviceAddress and MachinesAddress are the addresses of the platform's services, as host:port. An empty
	// AdviceAddress or MachinesAddress means that the platform does not have that service.
	StoreAddress    string `json:"store_address"`
	AdviceAddress   string `json:"advice_address,omitempty"`
	MachinesAddress string `json:"machines_address,omitempty"`
	// StoreRowBytes is the largest value of a row of the store, in bytes; 0 means that the limit is not known.
	StoreRowBytes int `json:"store_row_bytes,omitempty"`
	// CPUShare is the processor share of the instance, in cores.
	CPUShare float64 `json:"cpu_share"`
	// LinkMbps is the bandwidth of the network link of the instance, in megabits per second; 0 means unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// MemoryMB is the memory that the instance may use, in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// MaxLeaseMS is the longest lease that workers grant, in milliseconds.
	MaxLeaseMS int64 `json:"max_lease_ms"`
	// ConfigDeadlineMS is the time within which a change of the configuration must be in force, in milliseconds.
	ConfigDeadlineMS int64 `json:"config_deadline_ms"`
	// FailClosed says that calls with a withdrawn key are refused even by an instance without contact to the store, KeyDeadlineMS
	// after the withdrawal at the latest, in milliseconds.
	FailClosed    bool  `json:"fail_closed,omitempty"`
	KeyDeadlineMS int64 `json:"key_deadline_ms,omitempty"`
	// StopTimeoutMS is the timeout for stopping a task on a worker, in milliseconds.
	StopTimeoutMS int64 `json:"stop_timeout_ms"`
	// RetentionS is how long the state of a finished job can be queried, in seconds.
	RetentionS float64 `json:"retention_s"`
	// GraceS is the time from SIGTERM to SIGKILL, in seconds.
	GraceS float64 `json:"grace_s"`
	// LogLevel is the lowest level that is logged, such as debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// Limits of the settings of a node.
const (
	minMemoryMB, maxMemoryMB = 32, 1 << 20
	minMaxLeaseMS            = 1000
	minConfigDeadlineMS      = 100
	minKeyDeadlineMS         = 1000
	minGraceS, maxGraceS     = 0.5, 600
	maxRetentionS            = 7 * 24 * 3600
	// minStoreRowBytes holds the largest rows of a small cell.
	minStoreRowBytes = 8192
)

// LoadNode reads the settings of a node from a file and validates them as ParseNode does.
func LoadNode(path string) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, errors.Wrap(err, "read settings")
	}
	return ParseNode(data)
}

// ParseNode decodes and validates the settings of a node. The error is an *Error that lists every problem found.
func ParseNode(data []byte) (Node, error) {
	s := Node{LogLevel: "info", CPUShare: 1, StopTimeoutMS: 500, ConfigDeadlineMS: 3000, RetentionS: 120, GraceS: 6, MaxLeaseMS: maxTimeoutMS}
	var found problems
	for _, p := range strictjson.Decode(data, &s) {
		found = append(found, p.String())
	}
	if len(found) == 0 {
		s.check(&found)
	}
	if len(found) > 0 {
		return Node{}, &Error{Problems: found}
	}
	return s, nil
}

func (s Node) check(p *problems) {
	p.checkName("instance", s.Instance)
	p.checkName("zone", s.Zone)
	p.checkAddress("caller_address", s.CallerAddress)
	p.checkAddress("ready_address", s.ReadyAddress)
	p.checkAddress("peer_address", s.PeerAddress)
	p.checkAddress("store_address", s.StoreAddress)
	for path, value := range map[string]string{
		"metrics_address": s.MetricsAddress, "advice_address": s.AdviceAddress, "machines_address": s.MachinesAddress,
	} {
		if value != "" {
			p.checkAddress(path, value)
		}
	}
	if s.StoreRowBytes != 0 && s.StoreRowBytes < minStoreRowBytes {
		p.addf("store_row_bytes", "expected 0 or at least %d bytes, got %d", minStoreRowBytes, s.StoreRowBytes)
	}
	if s.CPUShare <= 0 {
		p.addf("cpu_share", "expected more than 0 cores, got %g", s.CPUShare)
	}
	if s.LinkMbps < 0 {
		p.addf("link_mbps", "expected 0 or more megabits per second, got %g", s.LinkMbps)
	}
	if s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB {
		p.addf("memory_mb", "expected %d to %d megabytes, got %d", minMemoryMB, maxMemoryMB, s.MemoryMB)
	}
	p.checkMillis("max_lease_ms", s.MaxLeaseMS, minMaxLeaseMS, maxLeaseMS)
	p.checkMillis("config_deadline_ms", s.ConfigDeadlineMS, minConfigDeadlineMS, maxTimeoutMS)
	if s.FailClosed {
		p.checkMillis("key_deadline_ms", s.KeyDeadlineMS, minKeyDeadlineMS, maxTimeoutMS)
	}
	p.checkMillis("stop_timeout_ms", s.StopTimeoutMS, 1, maxTimeoutMS)
	if s.GraceS < minGraceS || s.GraceS > maxGraceS {
		p.addf("grace_s", "expected %g to %g seconds, got %g", minGraceS, float64(maxGraceS), s.GraceS)
	}
	if s.RetentionS < 0 || s.RetentionS > maxRetentionS {
		p.addf("retention_s", "expected 0 to %d seconds, got %g", maxRetentionS, s.RetentionS)
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		p.addf("log_level", "expected debug, info, warn or error, got %q", s.LogLevel)
	}
}

// KeyDeadline returns the time after which a withdrawn key is refused for sure, 0 if there is no such time.
func (s Node) KeyDeadline() time.Duration {
	if !s.FailClosed {
		return 0
	}
	return time.Duration(s.KeyDeadlineMS) * time.Millisecond
}

// Level returns the log level, or the info level if LogLevel is not valid.
func (s Node) Level() logrus.Level {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}
