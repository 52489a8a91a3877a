package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/api/relaypb"
)

// serversAbsent counts the servers found to be absent: nothing listened at the address any more.
var serversAbsent = metrics.GetOrCreateCounter("mallowgap_servers_absent_total")

// callsUnregistered counts the calls of servers whose registration had disappeared.
var callsUnregistered = metrics.GetOrCreateCounter("mallowgap_calls_to_unregistered_servers_total")

// httpServerErrors counts the errors that the HTTP servers of this process logged.
var httpServerErrors = metrics.GetOrCreateCounter("mallowgap_http_server_errors_total")

var (
	// sharedLoads is the number of servers that the coordinator told to be loaded; sharedLoadsTime,
	// when it last told any load, in Unix seconds.
	sharedLoads     = metrics.GetOrCreateGauge("mallowgap_shared_loads", nil)
	sharedLoadsTime = metrics.GetOrCreateGauge("mallowgap_shared_loads_timestamp_seconds", nil)
)

// unansweredCause is the reason why the connection of a request that was read whole was closed without
// a whole answer.
type unansweredCause string

const (
	// unansweredCallerLeft: the connection ended before the request was served.
	unansweredCallerLeft unansweredCause = "caller_left"
	// unansweredWriteFailed: the connection ended while the answer was written.
	unansweredWriteFailed unansweredCause = "write_failed"
	// unansweredPanic: a panic cut the response.
	unansweredPanic unansweredCause = "panic"
)

// unanswered counts the requests that were read whole and got no whole answer.
var unanswered = newUnansweredCounters(unansweredCallerLeft, unansweredWriteFailed, unansweredPanic)

func newUnansweredCounters(causes ...unansweredCause) map[unansweredCause]*metrics.Counter {
	counters := map[unansweredCause]*metrics.Counter{}
	for _, cause := range causes {
		counters[cause] = metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_requests_unanswered_total{cause=%q}", cause))
	}
	return counters
}

func countUnanswered(cause unansweredCause) { unanswered[cause].Inc() }

func countAnswer(route string, a Answer) {
	metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_requests_total{route=%q,outcome=%q,cause=%q}", route, a.Outcome, a.Cause)).Inc()
}

// pruneRouteMetrics removes the metrics of routes that are no longer known, so that their number
// stays bounded.
func pruneRouteMetrics(known func(route string) bool) {
	for _, name := range metrics.ListMetricNames() {
		_, label, found := strings.Cut(name, "{route=\"")
		route, _, _ := strings.Cut(label, "\"")
		if found && route != "" && !known(route) {
			metrics.UnregisterMetric(name)
		}
	}
}

func observeDuration(route string, d time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("mallowgap_request_duration_seconds{route=%q}", route)).Update(d.Seconds())
}

// callHistogram returns the histogram of the duration of calls to the servers of a service.
func callHistogram(service string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("mallowgap_server_call_duration_seconds{service=%q}", service))
}

// attemptCounters counts attempts by kind and outcome.
var attemptCounters = newAttemptCounters()

func newAttemptCounters() map[attemptKind]map[relaypb.Outcome]*metrics.Counter {
	counters := map[attemptKind]map[relaypb.Outcome]*metrics.Counter{}
	for _, kind := range []attemptKind{firstAttempt, retryAttempt, hedgeAttempt} {
		counters[kind] = map[relaypb.Outcome]*metrics.Counter{}
		for value, name := range relaypb.Outcome_name {
			counters[kind][relaypb.Outcome(value)] = metrics.GetOrCreateCounter(
				fmt.Sprintf("mallowgap_gateway_attempts_total{kind=%q,result=%q}", kind, strings.ToLower(name)))
		}
	}
	return counters
}

func countAttempt(kind attemptKind, outcome relaypb.Outcome) { attemptCounters[kind][outcome].Inc() }

// countInvalidReply counts a call whose server sent something that is no answer to it.
func countInvalidReply(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_server_invalid_replies_total{reason=%q}", reason)).Inc()
}

func countDenied(kind attemptKind) {
	metrics.GetOrCreateCounter(fmt.Sprintf("mallowgap_gateway_attempts_denied_total{kind=%q}", kind)).Inc()
}

// attemptKind is the reason for an attempt.
type attemptKind string

const (
	firstAttempt attemptKind = "first"
	retryAttempt attemptKind = "retry"
	hedgeAttempt attemptKind = "hedge"
)
