// Package telemetry provides the logs and the metrics of one process. Logs are JSON lines without personal data: names of
// accounts and teams, payloads and responses are never logged. Metrics are recorded with OpenTelemetry and served in
// the Prometheus text format. Their values last as long as the process.
package telemetry

import (
	"fmt"
	"io"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
)

// timeFormat has a resolution of microseconds, so that lines of several instances can be sorted by time.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// NewLogger returns a logger that writes entries of the given level and above as JSON lines.
func NewLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(lineFormatter{})
	return log
}

// RedirectKratosLog redirects the log of the kratos library to log. It changes a setting that is global to the process, so it
// is meant for programs, not for libraries.
func RedirectKratosLog(log logrus.FieldLogger) { kratoslog.SetLogger(kratosLogger{log}) }

// kratosLogger writes the log entries of the kratos library to a logrus logger.
type kratosLogger struct{ log logrus.FieldLogger }

// Log implements the Logger interface of kratos. Entries below the warning level are logged at the debug level.
func (k kratosLogger) Log(level kratoslog.Level, keyvals ...any) error {
	entry := k.log.WithField("library", "kratos")
	message := ""
	for i := 0; i+1 < len(keyvals); i += 2 {
		key := fmt.Sprint(keyvals[i])
		if key == kratoslog.DefaultMessageKey {
			message = fmt.Sprint(keyvals[i+1])
			continue
		}
		entry = entry.WithField(key, keyvals[i+1])
	}
	switch {
	case level >= kratoslog.LevelError:
		entry.Error(message)
	case level == kratoslog.LevelWarn:
		entry.Warn(message)
	default:
		entry.Debug(message)
	}
	return nil
}
