// Package quarantine detects poison requests, which crash every server that runs them, and decides
// when to stop sending them: retries of such a request can take a whole service down.
//
// A request is identified by its Fingerprint, a hash of its content and its caller that is the same
// for all attempts. A Book merges the records of all hosts about crashes during a request into the
// Standing of that request. A crash, or end, of a server is the end of its process while it ran a
// request. A request is on trial when it is sent to one server alone.
//
// Invariants:
//   - A request is barred only after MinCrashes servers crashed while running it, MinTrialCrashes
//     of them on trial after earlier crashes. The loss of a failure domain crashes servers under
//     many unrelated requests, but these are served on trial. A crash on trial that another
//     suspect saw on trial too counts only once that one was served, or, if both could be barred,
//     has fewer crashes; from maxUndecidedTrials trials on it counts in any case.
//   - The end of one process is attributed to only one of the requests that it ran.
//   - TakeChanges returns each change of a standing exactly once, whether it follows from a record
//     of the request, from the state of another request or from the passing of time.
//   - A server that serves a request clears it. A request that was served within servedGrace is not
//     barred; a host knows that of the requests that it served while its book was not empty.
//   - A barred request is sent only on trials that a single host has claimed: at most MaxTrials,
//     each after a longer probation, and one more when all servers run a version under which
//     none has crashed.
//   - The size of a Book is bounded: the oldest requests are evicted first, those that are not
//     barred before those that are.
package quarantine
