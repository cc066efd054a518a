package daemon

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes one line of key=value pairs for each
// event. The level has been checked with the settings.
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

// timestampHook adds the time of the process's own clock.
type timestampHook struct{ clock clockwork.Clock }

// Run adds the time to an event.
func (s timestampHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(zerolog.TimestampFieldName, s.clock.Now().UTC().Format(time.RFC3339Nano))
}

func keyValueFormatter(key string) zerolog.Formatter {
	return func(value any) string {
		if value == nil {
			return ""
		}
		return key + "=" + quoteValue(fmt.Sprint(value))
	}
}

// quoteValue quotes a value that would not read back as one. Values that the
// writer has quoted already are left alone.
func quoteValue(text string) string {
	if strings.HasPrefix(text, `"`) && strings.HasSuffix(text, `"`) && len(text) > 1 {
		return text
	}
	if text == "" || strings.ContainsAny(text, " \t\n\"=") {
		return fmt.Sprintf("%q", text)
	}
	return text
}
