// Package quarantine decides which requests are kept from servers because servers end
// under them: a request that ends each server which runs it takes a whole service down if
// it is tried again wherever it comes.
//
// A request is known by its Fingerprint, which is that of its content and its caller, not of
// one attempt. A Book holds what the hosts saw of fingerprints under which servers ended, and
// gives the Standing of each.
//
// Invariants:
//   - A request is barred only after LeastEnds servers ended under it, LeastTrials of them on
//     trial: it was sent there alone, after others had ended. A lost failure domain ends many
//     servers under a request that has nothing to do with it; the trial is served then.
//   - The end of one process is put down to one of the requests that saw it.
//   - Every change of a standing is told by Changes, once, also where it follows from what
//     became of another request or from the time.
//   - A server that serves a request clears it.
//   - A barred request goes to a server only on a trial that one host of all has claimed, at
//     most MaxTrials times, each after a longer probation, and once more when all servers
//     have another version than those that it ended.
//   - What a Book holds is bounded: the oldest goes first, those that are not barred before
//     those that are.
package quarantine
