package obs

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/api/callerpb"
)

// AttemptKind is the reason for sending an attempt to a leaf.
type AttemptKind int

// Reasons for an attempt.
const (
	First AttemptKind = iota
	Hedge
	RetryFailed
	RetryRefused
	RetryNotSent
	RetryDraining
	RetrySnapshot
	Probe
	attemptKinds
)

// String returns the metric label of the reason.
func (kind AttemptKind) String() string {
	return [...]string{"first", "hedge", "retry_failed", "retry_refused", "retry_not_sent", "retry_draining", "retry_snapshot", "probe"}[kind]
}

// IsExtra reports whether the attempt may execute a request another time.
func (kind AttemptKind) IsExtra() bool { return kind != First }

var attemptCounters = newAttemptCounters()

func newAttemptCounters() []*metrics.Counter {
	counters := make([]*metrics.Counter, attemptKinds)
	for kind := range attemptKinds {
		counters[kind] = Counter("mallowgap_leaf_attempts_total", "kind", kind.String())
	}
	return counters
}

// CountAttempt counts an attempt by its reason.
func CountAttempt(kind AttemptKind) { attemptCounters[kind].Inc() }

// Counter returns the counter of a metric with one label.
func Counter(name, label, value string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value))
}

// CountReply counts a reply to a desk by its outcome and reason.
func CountReply(r *callerpb.AskReply) {
	name := fmt.Sprintf("mallowgap_replies_total{outcome=%q,reason=%q}", r.GetOutcome(), r.GetReason())
	metrics.GetOrCreateCounter(name).Inc()
}

// CountPart counts a received part by the verdict on it.
func CountPart(verdict string) { Counter("mallowgap_parts_total", "verdict", verdict).Inc() }

// CountRefusal counts a refusal of a leaf by its kind.
func CountRefusal(kind string) { Counter("mallowgap_leaf_refusals_total", "kind", kind).Inc() }

// CountExtraDenied counts an extra attempt that the retry budget did not permit.
func CountExtraDenied(kind AttemptKind) {
	Counter("mallowgap_extra_denied_total", "kind", kind.String()).Inc()
}

// CountPlatformCall counts a call to the platform by its kind and result.
func CountPlatformCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_platform_calls_total{call=%q,result=%q}", call, result)).Inc()
}

// CountHeartbeat counts a heartbeat by its result.
func CountHeartbeat(result string) { Counter("mallowgap_heartbeats_total", "result", result).Inc() }
