// Package telemetry holds the logs and the metrics of one process. Logs are JSON lines without personal data: names of
// accounts and teams, payloads and answers are never logged. Metrics are recorded by OpenTelemetry and read in the
// Prometheus text format. Values live as long as the process.
package telemetry

import (
	"fmt"
	"io"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
)

// timeFormat resolves microseconds, so that lines of several instances can be put in order.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// NewLogger returns a logger that writes JSON lines of a level and above.
func NewLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return log
}

// AdoptKratosLog sends the log of the kratos library, which is global to the process, to log. It is meant for programs,
// not for libraries.
func AdoptKratosLog(log logrus.FieldLogger) { kratoslog.SetLogger(kratosLogger{log}) }

type kratosLogger struct{ log logrus.FieldLogger }

// Log implements kratos' Logger. Lines below the level of warnings are logged at the debug level.
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
