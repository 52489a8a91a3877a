// Package standin simulates the environment of the entry hosts: backend servers
// and the platform. Faults are injected at the start and by control calls at run
// time. Leaves record what they execute, so that tests can verify the replies to
// desks.
package standin
