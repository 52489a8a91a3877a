// Package standin simulates what an entry host depends on: backend servers (leaves),
// and the platform's key-value store and host list. Faults are injected at the start and
// by control calls at run time. Leaves record their executions of non-repeatable
// requests, and of all requests with LeafOptions.RecordExecutions, so that tests can
// compare them with the replies to desks.
package standin
