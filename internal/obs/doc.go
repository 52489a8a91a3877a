// Package obs provides the counters and loggers of the daemons. Refusals and extra
// attempts are counted by reason; log lines report state changes, and requests at
// a limited rate.
package obs
