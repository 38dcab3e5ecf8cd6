package telemetry

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
)

// lineFormatter formats entries as the JSON lines of logrus.JSONFormatter. It encodes the common types without reflection:
// a leader logs several lines for each task.
type lineFormatter struct{}

// reservedPrefix is the prefix of fields with the names of those of the entry itself.
const reservedPrefix = "fields."

func isReserved(key string) bool {
	switch key {
	case logrus.FieldKeyTime, logrus.FieldKeyMsg, logrus.FieldKeyLevel, logrus.FieldKeyLogrusError:
		return true
	}
	return false
}

// usualFields is the number of fields of a line up to which they need no memory of their own.
const usualFields = 24

// lineField is a field of a line.
type lineField struct {
	key   string
	value any
}

// Format implements logrus.Formatter.
func (lineFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	var usual [usualFields]lineField
	fields := usual[:0]
	for key, value := range entry.Data {
		if isReserved(key) {
			key = reservedPrefix + key
		}
		fields = append(fields, lineField{key, value})
	}
	fields = append(fields, lineField{logrus.FieldKeyLevel, entry.Level.String()}, lineField{logrus.FieldKeyMsg, entry.Message},
		lineField{logrus.FieldKeyTime, entry.Time})
	slices.SortFunc(fields, func(a, b lineField) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	line := make([]byte, 0, 64+32*len(fields))
	line = append(line, '{')
	for i, f := range fields {
		if i > 0 {
			line = append(line, ',')
		}
		line = appendString(line, f.key)
		line = append(line, ':')
		var err error
		if line, err = appendValue(line, f.value); err != nil {
			return nil, fmt.Errorf("encode field %q of a log line: %w", f.key, err)
		}
	}
	return append(line, '}', '\n'), nil
}

// appendValue appends a value in JSON. Errors are written as their messages, like logrus does.
func appendValue(line []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case string:
		return appendString(line, v), nil
	case int:
		return strconv.AppendInt(line, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(line, v, 10), nil
	case uint64:
		return strconv.AppendUint(line, v, 10), nil
	case bool:
		return strconv.AppendBool(line, v), nil
	case time.Time:
		// The format has no characters that need escaping.
		return append(v.AppendFormat(append(line, '"'), timeFormat), '"'), nil
	case error:
		return appendString(line, v.Error()), nil
	}
	data, err := json.Marshal(value)
	return append(line, data...), err
}

// appendString appends a string in JSON. Strings with characters that need escaping are left to encoding/json.
func appendString(line []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// A string can always be encoded.
			data, _ := json.Marshal(s)
			return append(line, data...)
		}
	}
	line = append(line, '"')
	line = append(line, s...)
	return append(line, '"')
}
