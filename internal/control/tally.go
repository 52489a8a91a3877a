package control

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// tallyEvery is the least time between two lines about entries that were taken
	// in: a restart of all hosts takes in every entry at each of them.
	tallyEvery = time.Second
	// detailsPerSecond bounds the lines about single entries of one process: enough
	// for the servers of a domain that change in the time of one request.
	detailsPerSecond = 10
)

// tally counts what became of entries until a line tells it.
type tally struct {
	// Servers were registered anew or changed, draining are those of them that drain.
	servers, draining, serversGone int
	peers, peersGone               int
	// kept are entries that lapsed while the store was away and still count.
	kept int
	// readings counts complete readings, the other entries came as changes.
	readings int
	toldAt   time.Time
}

func (t *tally) empty() bool {
	return t.servers+t.serversGone+t.peers+t.peersGone+t.kept+t.readings == 0
}

// tell writes the line that is due, if there is something to tell.
func (t *tally) tell(log zerolog.Logger, revision uint64, storeAway bool, now time.Time) {
	if t.empty() || now.Sub(t.toldAt) < tallyEvery {
		return
	}
	log.Info().Uint64("revision", revision).Int("readings", t.readings).
		Int("servers", t.servers).Int("draining", t.draining).Int("servers_gone", t.serversGone).
		Int("peers_registered", t.peers).Int("peers_gone", t.peersGone).Int("kept", t.kept).
		Bool("store_away", storeAway).Msg("entries taken in")
	*t = tally{toldAt: now}
}
