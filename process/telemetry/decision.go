package telemetry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/version/cell"
)

// DecisionLog writes the decisions of a scheduler as log lines with the fields of an entry. A leader logs several decisions for each task,
// so it adds to the fields of a decision in place of copying them; hooks of the logger are not run.
type DecisionLog struct{ entry *logrus.Entry }

// NewDecisionLog returns a log that writes with the logger and the fields of entry.
func NewDecisionLog(entry *logrus.Entry) DecisionLog { return DecisionLog{entry} }

// Log writes a decision and keeps its fields. An error of the formatter or the output cannot be reported anywhere.
func (l DecisionLog) Log(d cell.Decision) {
	logger := l.entry.Logger
	if !logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields(d.Fields)
	if fields == nil {
		fields = logrus.Fields{}
	}
	for key, value := range l.entry.Data {
		fields[key] = value
	}
	fields["event"] = d.Event
	if d.Job != "" {
		fields["job"] = string(d.Job)
	}
	entry := &logrus.Entry{Logger: logger, Data: fields, Time: time.Now(), Level: logrus.InfoLevel, Message: d.Event}
	line, err := logger.Formatter.Format(entry)
	if err != nil {
		return
	}
	if out, ok := logger.Out.(*AsyncWriter); ok {
		out.writeOwned(line)
		return
	}
	_, _ = logger.Out.Write(line)
}

// decisionCounter counts decisions by event. It keeps the attributes of each event, since building them costs more than counting.
type decisionCounter struct {
	counter metric.Int64Counter
	// options holds a metric.AddOption for each event.
	options sync.Map
}

// add counts a decision.
func (c *decisionCounter) add(event string) {
	option, known := c.options.Load(event)
	if !known {
		option = metric.WithAttributeSet(attribute.NewSet(attribute.String("event", event)))
		c.options.Store(event, option)
	}
	c.counter.Add(context.Background(), 1, option.(metric.AddOption))
}
