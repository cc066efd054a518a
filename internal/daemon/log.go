package daemon

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event.
// An invalid level means info; settings validation normally rejects it earlier.
func NewLogger(w io.Writer, level string, clock clockwork.Clock) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	writer := zerolog.ConsoleWriter{
		Out: w, NoColor: true, TimeFormat: time.RFC3339Nano, TimeLocation: time.UTC,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: keyValueFormatter("time"),
		FormatLevel:     keyValueFormatter("level"),
		FormatMessage:   keyValueFormatter("event"),
		FormatFieldValue: func(value any) string {
			return quoteValue(fmt.Sprintf("%s", value))
		},
		FormatErrFieldValue: func(value any) string {
			return quoteValue(fmt.Sprintf("%s", value))
		},
	}
	return zerolog.New(zerolog.SyncWriter(writer)).Level(parsed).Hook(timestampHook{clock})
}

// timestampHook adds the time of the process's clock to each event.
type timestampHook struct{ clock clockwork.Clock }

// Run adds the timestamp to an event.
func (h timestampHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(zerolog.TimestampFieldName, h.clock.Now().UTC().Format(time.RFC3339Nano))
}

func keyValueFormatter(key string) zerolog.Formatter {
	return func(value any) string {
		if value == nil {
			return ""
		}
		return key + "=" + quoteValue(fmt.Sprint(value))
	}
}

// quoteValue quotes an empty value and a value with white space, quotation marks or equals signs.
// It returns values that the console writer has already quoted unchanged.
func quoteValue(text string) string {
	if strings.HasPrefix(text, `"`) && strings.HasSuffix(text, `"`) && len(text) > 1 {
		return text
	}
	if text == "" || strings.ContainsAny(text, " \t\n\"=") {
		return fmt.Sprintf("%q", text)
	}
	return text
}
