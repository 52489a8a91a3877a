// Package quarantine knows requests under which servers end. A request is known by its
// Fingerprint, which is that of its content and its caller, not of one attempt.
package quarantine
