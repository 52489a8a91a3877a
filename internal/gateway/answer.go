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
	// Unauthorized: the route requires a key of a team, and the request carries none.
	Unauthorized
	// Malformed: the request lacks a mandatory field.
	Malformed
	// TooLarge: the body exceeds the configured limit.
	TooLarge
	// HeaderTooLarge: the header exceeds the configured limit.
	HeaderTooLarge
	// NotRun: the request was not run and will not be.
	NotRun
	// OverLimit: the request is over the limit of its team; it was not run and will not be.
	OverLimit
	// Failed: servers failed; the request may have run.
	Failed
	// TimedOut: the time limit expired; the request may have run.
	TimedOut
	// CallerLeft: the connection of the caller ended before the request was served. The caller may still
	// read, so it is answered all the same.
	CallerLeft
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"forwarded", "gathered", "no_route", "unauthorized", "malformed", "too_large", "header_too_large", "not_run", "over_limit", "failed", "timed_out", "caller_left"}[o]
}

// Cause is the cause of an answer that is not a complete success, for metrics and alerts.
type Cause string

// Causes of incomplete and failed answers.
const (
	CauseNone Cause = ""
	// CauseNoConfig: no configuration is known yet.
	CauseNoConfig Cause = "no_configuration"
	// CauseNoID: the request has no identifier.
	CauseNoID Cause = "no_identifier"
	// CauseBodySize: the body exceeds the limit.
	CauseBodySize Cause = "body_size"
	// CauseHeaderSize: the header exceeds the limit.
	CauseHeaderSize Cause = "header_size"
	// CauseNoRoute: no route matches the request.
	CauseNoRoute Cause = "no_route"
	// CauseMissingKey: the request carries no key.
	CauseMissingKey Cause = "missing_key"
	// CauseUnknownKey: no team holds the key of the request, or several do.
	CauseUnknownKey Cause = "unknown_key"
	// CauseOverLimit: the request is over the limit of its team.
	CauseOverLimit Cause = "over_limit"
	// CauseNoTime: the caller's timeout expired before an attempt was made.
	CauseNoTime Cause = "no_time"
	// CauseNoServer: the service has no server in service.
	CauseNoServer Cause = "no_server"
	// CauseNoHome: the service has no server in service in the homes of the route.
	CauseNoHome Cause = "no_home"
	// CauseEvacuated: the failure domains of all servers of a service are evacuated.
	CauseEvacuated Cause = "evacuated"
	// CauseCutOff: the host reaches no other failure domain, and its own lacks servers.
	CauseCutOff Cause = "cut_off"
	// CauseOverloaded: the request would wait too long at the servers.
	CauseOverloaded Cause = "overloaded"
	// CauseBusy: all servers of the service are busy.
	CauseBusy Cause = "busy"
	// CauseRefused: servers refused the request.
	CauseRefused Cause = "refused"
	// CauseUnreachable: connections to servers failed.
	CauseUnreachable Cause = "unreachable"
	// CauseAbsent: too many shards have no server that listens at its address.
	CauseAbsent Cause = "absent"
	// CauseServerFailed: servers failed or connections were lost.
	CauseServerFailed Cause = "server_failed"
	// CauseSlow: servers did not answer in time.
	CauseSlow Cause = "slow"
	// CauseBarred: the request is barred because servers crash when they run it.
	CauseBarred Cause = "barred"
	// CauseSuspect: servers crashed when they ran the request, and the trial by another query was not
	// decided in time.
	CauseSuspect Cause = "suspect"
	// CauseCallerLeft: the connection of the caller ended.
	CauseCallerLeft Cause = "caller_left"
	// CauseStopping: the host stopped before the request was finished.
	CauseStopping Cause = "stopping"
	// CausePanic: a panic, a fault of the program, ended the request.
	CausePanic Cause = "panic"
)

// FaultReason is what callers are told of a panic.
const FaultReason = "a fault of the program ended the request: look up its identifier in the log"

// Answer is the answer to a caller.
type Answer struct {
	Outcome Outcome
	Cause   Cause
	// Reason says why the request was not served, or not completely.
	Reason string
	// RetryAfter is when to retry a request that was not run, or not sent, or is over the limit of its
	// team.
	RetryAfter time.Duration
	// Sent reports, if the outcome is CallerLeft, that a server may have been sent the request. If not,
	// it was not run and will not be.
	Sent bool
	// Reply is set if the outcome is Forwarded.
	Reply *Reply
	// Gathered is set if the outcome is Gathered.
	Gathered fanout.Answer
	// Route and Version are the route and the version of the configuration by which the request was
	// served, if they are known.
	Route   string
	Version uint64
}

func notRun(cause Cause, reason string, retryAfter time.Duration) Answer {
	return Answer{Outcome: NotRun, Cause: cause, Reason: reason, RetryAfter: retryAfter}
}
