package gateway

import (
	"time"

	"github.com/mallowgap/mallowgap/fanout"
)

// Outcome is what became of a request.
type Outcome int

const (
	// Forwarded: a server's reply is passed on as it is.
	Forwarded Outcome = iota
	// Gathered: an answer was gathered from the shards.
	Gathered
	// NoRoute: no route of the configuration in force serves the request.
	NoRoute
	// Malformed: the request lacks what every request must have.
	Malformed
	// TooLarge: the body is larger than the configuration allows.
	TooLarge
	// NotRun: the request has not run and never will.
	NotRun
	// Failed: servers failed; the request may have run.
	Failed
	// TimedOut: the time was up; the request may have run.
	TimedOut
	// CallerLeft: nobody waits for the answer.
	CallerLeft
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"forwarded", "gathered", "no_route", "malformed", "too_large", "not_run", "failed", "timed_out", "caller_left"}[o]
}

// Answer is what a caller gets.
type Answer struct {
	Outcome Outcome
	// Reason says why the request was not served.
	Reason string
	// RetryAfter is when to come back, where the request has not run.
	RetryAfter time.Duration
	// Reply is set where the outcome is Forwarded.
	Reply *Reply
	// Gathered is set where the outcome is Gathered.
	Gathered fanout.Answer
}

func notRun(reason string, retryAfter time.Duration) Answer {
	return Answer{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter}
}
