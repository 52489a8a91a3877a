package gateway

import (
	"time"

	"github.com/mallowgap/mallowgap/fanout"
)

// Outcome is the outcome of a request.
type Outcome int

const (
	// Forwarded: a server's reply is returned unchanged.
	Forwarded Outcome = iota
	// Gathered: the answer was gathered from the shards.
	Gathered
	// NoRoute: no route of the configuration in force matches the request.
	NoRoute
	// Malformed: the request lacks a mandatory field.
	Malformed
	// TooLarge: the body exceeds the configured limit.
	TooLarge
	// HeaderTooLarge: the header exceeds the configured limit.
	HeaderTooLarge
	// NotRun: the request was not run and will not be.
	NotRun
	// Failed: servers failed; the request may have run.
	Failed
	// TimedOut: the time limit expired; the request may have run.
	TimedOut
	// CallerLeft: the caller has disconnected.
	CallerLeft
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"forwarded", "gathered", "no_route", "malformed", "too_large", "header_too_large", "not_run", "failed", "timed_out", "caller_left"}[o]
}

// Code is the cause of an answer that is not a complete success, for metrics and alerts.
type Code string

// Causes of incomplete and failed answers.
const (
	CodeNone Code = ""
	// CodeNoConfig: no configuration is known yet.
	CodeNoConfig Code = "no_configuration"
	// CodeNoID: the request has no identifier.
	CodeNoID Code = "no_identifier"
	// CodeBodySize: the body exceeds the limit.
	CodeBodySize Code = "body_size"
	// CodeHeaderSize: the header exceeds the limit.
	CodeHeaderSize Code = "header_size"
	// CodeNoRoute: no route matches the request.
	CodeNoRoute Code = "no_route"
	// CodeNoTime: the caller's timeout expired before an attempt was made.
	CodeNoTime Code = "no_time"
	// CodeNoServer: the service has no server in service.
	CodeNoServer Code = "no_server"
	// CodeNoHome: the service has no server in service in the homes of the route.
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
	// CodeUnreachable: connections to servers failed.
	CodeUnreachable Code = "unreachable"
	// CodeAbsent: too many shards have no server that listens at its address.
	CodeAbsent Code = "absent"
	// CodeServerFailed: servers failed or connections were lost.
	CodeServerFailed Code = "server_failed"
	// CodeSlow: servers did not answer in time.
	CodeSlow Code = "slow"
	// CodeBarred: the request is barred because servers exit when they run it.
	CodeBarred Code = "barred"
	// CodeSuspect: servers exited when they ran the request, and the trial by another query was not
	// decided in time.
	CodeSuspect Code = "suspect"
	// CodeCallerLeft: the caller closed its connection.
	CodeCallerLeft Code = "caller_left"
)

// Answer is the answer to a caller.
type Answer struct {
	Outcome Outcome
	Code    Code
	// Reason says why the request was not served, or not completely.
	Reason string
	// RetryAfter is when to retry a request that was not run.
	RetryAfter time.Duration
	// Reply is set if the outcome is Forwarded.
	Reply *Reply
	// Gathered is set if the outcome is Gathered.
	Gathered fanout.Answer
}

func notRun(code Code, reason string, retryAfter time.Duration) Answer {
	return Answer{Outcome: NotRun, Code: code, Reason: reason, RetryAfter: retryAfter}
}
