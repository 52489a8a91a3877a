package obs

import (
	"io"

	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds, which orders the lines of a request.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns a logger that writes JSON lines at or above a level, with a
// timestamp and the host.
func NewLogger(w io.Writer, level, host string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("host", host).Logger(), nil
}
