// Package load generates the open-loop load of a scenario, injects the
// scenario's faults into the stand-ins, checks every reply, and reports latency,
// coverage, extra load and refusals by class. Latency is measured from the
// scheduled send time of a request, which avoids coordinated omission.
package load
