package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc/status"

	"github.com/mallowgap/mallowgap/api/callerpb"
	"github.com/mallowgap/mallowgap/internal/standin"
)

const (
	// maxLatencyMicros is the largest latency that the histograms record;
	// longer ones count as this.
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	// microsPerMilli converts the microseconds of the histograms.
	microsPerMilli = 1000.0
)

// Class holds the results of one class of a scenario.
type Class struct {
	Name     string
	Sent     int
	Answered int
	// InTime counts the answers within the deadline.
	InTime  int
	NotRun  int
	Unknown int
	// NoReply counts the requests that got no reply.
	NoReply int
	// Mismatches describes the answers that failed CheckAnswer.
	Mismatches []string
	// Reasons counts the requests without an answer, by reason.
	Reasons map[string]int
	// latency holds the latencies of answers, in microseconds.
	latency *hdrhistogram.Histogram
	// coverageSum adds up the coverage of the answers, each from 0 to 1.
	coverageSum float64
	Intervals   []Interval
}

// Interval holds the results of one step of the plots.
type Interval struct {
	Sent, Answered, Refused int
	coverageSum             float64
	latency                 *hdrhistogram.Histogram
}

// Quantile returns the latency of answers at percentile q (0 to 100), in ms.
func (c *Class) Quantile(q float64) float64 {
	return float64(c.latency.ValueAtQuantile(q)) / microsPerMilli
}

// Coverage returns the mean coverage of the answers, 0 to 1.
func (c *Class) Coverage() float64 {
	if c.Answered == 0 {
		return 0
	}
	return c.coverageSum / float64(c.Answered)
}

// P99 returns the 99th percentile of the latency of answers, in ms.
func (i *Interval) P99() float64 {
	if i.latency == nil {
		return 0
	}
	return float64(i.latency.ValueAtQuantile(99)) / microsPerMilli
}

// Coverage returns the mean coverage of the answers, 0 to 1.
func (i *Interval) Coverage() float64 {
	if i.Answered == 0 {
		return 0
	}
	return i.coverageSum / float64(i.Answered)
}

// Outcome is the final outcome of a request, as reported to its desk.
type Outcome struct {
	Request       string
	Outcome       callerpb.Outcome
	NotRepeatable bool
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	classes  map[string]*Class
	outcomes []Outcome
	interval time.Duration
}

func newRecorder(names []string, duration, interval time.Duration) *recorder {
	r := &recorder{classes: map[string]*Class{}, interval: interval}
	steps := int(duration/interval) + 1
	for _, name := range names {
		c := &Class{Name: name, Reasons: map[string]int{}, latency: hdrhistogram.New(1, maxLatencyMicros, 3), Intervals: make([]Interval, steps)}
		r.classes[name] = c
	}
	return r
}

// observation is the result of one request.
type observation struct {
	class string
	// measured is false for requests of the warm-up.
	measured bool
	// due is the scheduled send time, from the start of the measured load.
	due time.Duration
	// took is the time from due to the end of the request.
	took     time.Duration
	deadline time.Duration
	ask      *callerpb.AskRequest
	reply    *callerpb.AskReply
	err      error
}

func (r *recorder) add(o observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := Outcome{Request: o.ask.GetRequestId(), Outcome: o.reply.GetOutcome(), NotRepeatable: o.ask.GetNotRepeatable()}
	r.outcomes = append(r.outcomes, outcome)
	if !o.measured {
		return
	}
	c := r.classes[o.class]
	step := &c.Intervals[min(max(int(o.due/r.interval), 0), len(c.Intervals)-1)]
	c.Sent++
	step.Sent++
	if o.err != nil {
		c.NoReply++
		c.Reasons["CALL "+status.Code(o.err).String()]++
		return
	}
	switch o.reply.GetOutcome() {
	case callerpb.Outcome_ANSWERED:
		r.addAnswer(c, step, o)
	case callerpb.Outcome_NOT_RUN:
		c.NotRun++
		step.Refused++
		c.Reasons[o.reply.GetReason().String()]++
	default:
		c.Unknown++
		step.Refused++
		c.Reasons["UNKNOWN "+o.reply.GetReason().String()]++
	}
}

func (r *recorder) addAnswer(c *Class, step *Interval, o observation) {
	c.Answered++
	step.Answered++
	if o.took <= o.deadline {
		c.InTime++
	}
	if mismatch := CheckAnswer(o.ask, o.reply); mismatch != "" {
		c.Mismatches = append(c.Mismatches, mismatch)
	}
	_ = c.latency.RecordValue(min(o.took.Microseconds(), maxLatencyMicros))
	if step.latency == nil {
		step.latency = hdrhistogram.New(1, maxLatencyMicros, 2)
	}
	_ = step.latency.RecordValue(min(o.took.Microseconds(), maxLatencyMicros))
	contributed := float64(len(o.reply.GetCoverage().GetContributed()))
	share := contributed / (contributed + float64(len(o.reply.GetCoverage().GetMissing())))
	c.coverageSum += share
	step.coverageSum += share
}

// CheckAnswer compares an answer with the rows that stand-in leaves return: one row for
// each shard of the coverage, of this request and of the snapshot of the reply.
// It returns a description of the first difference, or an empty string.
func CheckAnswer(ask *callerpb.AskRequest, reply *callerpb.AskReply) string {
	contributed := reply.GetCoverage().GetContributed()
	if reply.GetRequestId() != ask.GetRequestId() {
		return fmt.Sprintf("received the reply to request %s for request %s", reply.GetRequestId(), ask.GetRequestId())
	}
	if len(contributed) != len(reply.GetRows()) {
		return fmt.Sprintf("request %s: %d rows for %d shards", ask.GetRequestId(), len(reply.GetRows()), len(contributed))
	}
	for i, shard := range contributed {
		want := standin.Row(ask.GetRequestId(), shard, reply.GetSnapshot().GetEpoch(), reply.GetSnapshot().GetIndexVersion())
		if string(reply.GetRows()[i]) != want {
			return fmt.Sprintf("got row %q, want %q", reply.GetRows()[i], want)
		}
	}
	return ""
}
