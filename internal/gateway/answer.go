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
	// HeaderTooLarge: the header is larger than the configuration allows.
	HeaderTooLarge
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
	return [...]string{"forwarded", "gathered", "no_route", "malformed", "too_large", "header_too_large", "not_run", "failed", "timed_out", "caller_left"}[o]
}

// Code is the cause of an answer other than a whole success, for metrics and
// alerts; the reason says more.
type Code string

// The causes.
const (
	CodeNone Code = ""
	// CodeNoConfig: no configuration is known yet.
	CodeNoConfig Code = "no_configuration"
	// CodeNoID: the request has no identifier.
	CodeNoID Code = "no_identifier"
	// CodeBodySize: the body is larger than allowed.
	CodeBodySize Code = "body_size"
	// CodeHeaderSize: the header is larger than allowed.
	CodeHeaderSize Code = "header_size"
	// CodeNoRoute: no route serves the request.
	CodeNoRoute Code = "no_route"
	// CodeNoTime: the caller's time was over before an attempt was made.
	CodeNoTime Code = "no_time"
	// CodeNoServer: no server of the service is in service.
	CodeNoServer Code = "no_server"
	// CodeNoHome: no server of the service is in service in a region that may see the
	// request.
	CodeNoHome Code = "no_home"
	// CodeEvacuated: the failure domains of all servers of a service are evacuated.
	CodeEvacuated Code = "evacuated"
	// CodeCutOff: the host reaches no other failure domain, and its own lacks servers.
	CodeCutOff Code = "cut_off"
	// CodeOverloaded: the request would wait too long at the servers.
	CodeOverloaded Code = "overloaded"
	// CodeBusy: all servers of the service are busy.
	CodeBusy Code = "busy"
	// CodeRefused: servers refused the request.
	CodeRefused Code = "refused"
	// CodeUnreachable: servers could not be connected to.
	CodeUnreachable Code = "unreachable"
	// CodeAbsent: nothing listens at the addresses of all servers of too many shards.
	CodeAbsent Code = "absent"
	// CodeServerFailed: servers failed or broke off.
	CodeServerFailed Code = "server_failed"
	// CodeSlow: no server answered in time.
	CodeSlow Code = "slow"
	// CodeBarred: servers end under the request.
	CodeBarred Code = "barred"
	// CodeSuspect: servers ended under the request, and the trial of another query was awaited.
	CodeSuspect Code = "suspect"
	// CodeCallerLeft: the caller closed its connection.
	CodeCallerLeft Code = "caller_left"
)

// Answer is what a caller gets.
type Answer struct {
	Outcome Outcome
	Code    Code
	// Reason says why the request was not served, or not wholly.
	Reason string
	// RetryAfter is when to come back, where the request has not run.
	RetryAfter time.Duration
	// Reply is set where the outcome is Forwarded.
	Reply *Reply
	// Gathered is set where the outcome is Gathered.
	Gathered fanout.Answer
}

func notRun(code Code, reason string, retryAfter time.Duration) Answer {
	return Answer{Outcome: NotRun, Code: code, Reason: reason, RetryAfter: retryAfter}
}
