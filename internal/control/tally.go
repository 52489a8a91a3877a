package control

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// tallyInterval is the minimum time between two summary lines: when all hosts restart,
	// each of them applies every entry.
	tallyInterval = time.Second
	// detailLinesPerSecond limits the log lines about single entries.
	detailLinesPerSecond = 10
)

// tally counts applied entries until the next summary line.
type tally struct {
	// servers counts new or changed servers, draining those among them that drain.
	servers, draining, serversGone int
	peers, peersGone               int
	// kept counts entries that disappeared while the store was unreachable and are still
	// used.
	kept int
	// readings counts complete reads; all other entries arrived as changes.
	readings int
	loggedAt time.Time
}

func (t *tally) empty() bool {
	return t.servers+t.serversGone+t.peers+t.peersGone+t.kept+t.readings == 0
}

// flush writes the summary line if it is due and there is something to report.
func (t *tally) flush(log zerolog.Logger, revision uint64, storeLost bool, now time.Time) {
	if t.empty() || now.Sub(t.loggedAt) < tallyInterval {
		return
	}
	log.Info().Uint64("revision", revision).Int("readings", t.readings).
		Int("servers", t.servers).Int("draining", t.draining).Int("servers_gone", t.serversGone).
		Int("peers_registered", t.peers).Int("peers_gone", t.peersGone).Int("kept", t.kept).
		Bool("store_away", storeLost).Msg("entries applied")
	*t = tally{loggedAt: now}
}
