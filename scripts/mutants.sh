#!/usr/bin/env bash
# Mutation tests: applies each mutation of the list to a scratch copy and checks that
# the named tests then fail. Fields of a line, separated by @: the tests (a|b), the
# files, the mutation (a Perl expression), and the fault that it introduces.
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
survived=0
while IFS='@' read -r test file expression meaning; do
  [ -n "$test" ] || continue
  rm -rf "$scratch/tree"
  mkdir "$scratch/tree"
  git ls-files -coz --exclude-standard | xargs -0 cp --parents -t "$scratch/tree"
  unchanged=
  for f in $file; do
    perl -0pi -e "$expression" "$scratch/tree/$f"
    if cmp -s "$f" "$scratch/tree/$f"; then unchanged=$f; fi
  done
  if [ -n "$unchanged" ]; then
    echo "STALE    $test: $meaning (the expression does not match $unchanged)"
    survived=1
  elif (cd "$scratch/tree" && go test ./admission ./internal/invariant ./config ./internal/gateway ./internal/control ./fanout ./route ./discovery ./retry ./replica ./platform ./internal/peer ./internal/packing ./internal/obs ./internal/explain ./scarcity ./limit ./quarantine ./internal/guard ./internal/home ./team ./internal/coordination ./quota ./internal/callerconn ./internal/memlimit ./evict -run "^($test)\$" >"$scratch/out" 2>&1); then
    echo "SURVIVED $test: $meaning"
    survived=1
  elif ! grep -q -- '--- FAIL' "$scratch/out"; then
    echo "BROKEN   $test: $meaning: $(grep -m1 . "$scratch/out")"
    survived=1
  else
    echo "caught   $test: $meaning: $(grep -m1 -oE '(snapshot|coverage|correlation|not run|at most once|draining|graceful shutdown|configuration): .{0,80}|panic.{0,60}|build failed|assertion failed.{0,60}|failed after.{0,60}' "$scratch/out")"
  fi
done <<'LIST'
TestInvariantSnapshot@scatter/gather.go@s/if part.Snapshot.Version != g.snapshot.Version \{/if false {/@a part of another index version is merged
TestInvariantCoverage@scatter/gather.go@s/if len\(part.Rows\) != part.RowCount \{/if false {/@a truncated part is merged
TestInvariantCoverage@scatter/gather.go@s/if s.merged != nil \{/if s.merged != nil || s.missing == Refused {/; s/result.Rows = append\(result.Rows, s.merged.Rows...\)/if s.merged != nil { result.Rows = append(result.Rows, s.merged.Rows...) }/@a shard whose server refused counts as contributed
TestInvariantCorrelation@internal/home/dispatch.go@s/reply.GetAttemptId\(\) != a.id/false/@a reply to another attempt is accepted
TestInvariantNotRun@internal/home/query.go@s/\tq.maybeExecuted\+\+\n//@sent attempts are not counted
TestInvariantNotRun@internal/home/reply.go@s/case leaf.NotSent\(r.err\):/case r.err != nil:/@every failed attempt counts as not sent
TestInvariantNotRun@internal/entry/route.go@s/if mayHaveRun && reply.GetOutcome\(\) == callerpb.Outcome_NOT_RUN/if false/@an earlier forward to a lost home is forgotten
TestInvariantNotRun@internal/entry/route.go@s/if len\(req.GetTicket\(\)\) > 0 \{\n\t\treturn home.OutcomeUnknown/if false {\n\t\treturn home.OutcomeUnknown/@a refused resend is reported as not run
TestInvariantAtMostOnce@once/ledger.go@s/if t.Incarnation != l.incarnation \{/if t.Incarnation == 0 {/; s/!hmac.Equal\(t.MAC, l.key.sign\(t\)\)/!hmac.Equal(t.MAC, t.MAC)/@a later incarnation redeems a ticket
TestInvariantAtMostOnce@once/ledger.go@s/(l.outcomes\[t.Sequence\] = e)/$1\n\tl.redeemed = map[uint64]*[pageBits \/ 64]uint64{}\n\tdelete(l.outcomes, t.Sequence)/@a redeemed ticket is forgotten
TestInvariantAtMostOnce@internal/home/reply.go@s/if q.notRepeatable && q.maybeExecuted > 0 \{/if false {/@a lost attempt is retried
TestInvariantDraining@internal/home/service.go@s/l.Leaving = leaving && /l.Leaving = false && leaving && /@facts about leaving leaves are ignored
TestInvariantDraining@drain/registry.go@s/known.incarnation == 0 \|\| incarnation <= known.incarnation/known.incarnation == 0 || incarnation <= known.incarnation || address != ""/; s/NoticeTTL = 30/NoticeTTL = 300/@a restarted leaf stays excluded
TestInvariantGracefulStop@internal/entry/view.go@s/m.State == member.Alive \{/m.State != member.Dead {/@services stay placed on leaving hosts
TestInvariantGracefulStop@internal/entry/daemon.go@s/n := d.inFlight.Count\(\)/n := 0 * d.inFlight.Count()/@the shutdown does not wait for requests in flight
TestInvariantConfiguration|TestHolderNeverGoesBack@config/holder.go@s/if head.GetRevision\(\) <= h.Revision\(\) \{\n/if head.GetRevision() == h.Revision() {\n/g@an older revision replaces a newer one
TestInvariantConfiguration@config/editor.go@s/err := e.retry\(ctx, func\(\) error \{\n\t\tvar err error\n\t\tswapped, err = e.Store.CompareAndSwap\(ctx, HeadKey, version, encoded\)\n\t\treturn err\n\t\}\)\n\tif err != nil \{\n\t\treturn 0, fmt.Errorf\("%w \(%v\)", ErrOutcomeUnknown, err\)/swapped, err := e.Store.CompareAndSwap(ctx, HeadKey, version, encoded)\n\tif err != nil {\n\t\treturn 0, fmt.Errorf("%w (%v)", ErrUnavailable, err)/@a lost reply counts as a refused write
TestInvariantConfiguration@config/editor.go@s/(return 0, fmt.Errorf\("%w \(%v\)", ErrOutcomeUnknown, err\)\n\t\}\n)\tif revision, ok := acceptedRevision\(head, changeID\); ok \{\n\t\treturn revision, nil\n\t\}\n/$1/@an accepted change is reported as a conflict
TestHolderNeverGoesBack@route/table.go@s/config.Version <= h.table.Version\(\)/config.Version == h.table.Version()/@an older configuration of the platform replaces a newer one
TestAnswersAreTrue@fanout/block.go@s/return q.replaceOverlapping\(b\)/return q.add(b)/@an answer contains a shard twice
TestFloorWithoutRecordsIsIgnored@fanout/block.go@s/if top <= 0 \{/if top < 0 {/@a reply with a floor to a request without records panics
TestFloorLeavesOutWhatCannotCount@fanout/block.go@s/blocks := dropInvalidFloors\(q.settings.Top, (.*)\)\n/blocks := $1\n/@a block with an invalid floor is counted
TestServersLapsedInAnOutageServeUntilTheStoreIsBack@discovery/registry.go@s/if !r.Contact.Settled\(ReregistrationGrace, now\) \{\n\t\te.lapsed/if false {\n\t\te.lapsed/@entries that expire during an outage are removed at once
TestEvidenceThatAServerIsGone@discovery/contact.go@s/case c.since.Sub\(at\) > c.maxGap:\n\t\treturn/case false:\n\t\treturn/@a report of the time before an outage counts after it
TestEvidenceThatAServerIsGone@discovery/contact.go@s/c.since, c.interrupted = start, true/c.since = start/@an outage leaves no trace
TestEvidenceThatAServerIsGone@discovery/contact.go@s/return c.Current\(now\) && /return /@a store that nobody hears counts as in service
TestSuspensionIsNoOutage@discovery/contact.go@s/> c.maxGap\+c.suspended:/> c.maxGap:/@a suspension of the machine counts as an outage
TestPeerReportsForHowLongTheStoreIsInService@internal/control/state.go@s/inService: s.registry.Contact.Length\(\), //@hosts do not report for how long the store has been in service
TestServerLeavesWhileTheStoreTurnsHostsAway@internal/control/follow.go@s/rand.IntN\(max\(len\(hosts\), 1\)\) < earlyProbers/false/@only the highest-ranked hosts ask the store early
TestServerLeavesWhilePeersAreSilent@internal/control/peers.go@s/case <-time.After\(nextPeerDelay\):/case <-ctx.Done():/@silent peers are awaited one after the other
TestHostsLeaveALeaderThatTheStoreTurnsAway@internal/control/peers.go@s/\t\tc.queryUntilFresh\(ctx, addresses\)\n/\t\t_ = addresses\n/@hosts stay with a leader that the store turns away
TestOlderStateBringsNoServerBack@internal/control/state.go@s/e.Revision <= max\(known, s.entries\[key\].Revision\)/e.Revision <= s.entries[key].Revision/@an older state brings a server back
TestServerThatRegistersAgainIsUsed@internal/gateway/fleet.go@s/before.Draining && !s.Draining \|\| //@a server that drained is never used again
TestUnreachableServersEarnNoBudget@internal/gateway/attempt.go@s/if !q.firstCounted\[need.Shard\] \{/if kind == firstAttempt {/@attempts that reach no server earn retry budget
TestNotRepeatableRequestIsSentOnce@internal/gateway/query.go@s/if !q.mayHaveRun && !q.running\(\) &&/if/@a request that may have run is reported as not run
TestDrainingServerGetsNothingNew@internal/gateway/fleet.go@s/if s.Draining \|\| s.Evacuated \{/if s.Evacuated {/@a draining server gets new requests
TestCallerThatLeavesEndsItsCalls@internal/gateway/query.go@s/if ctx.Err\(\) != nil \|\| !q.running\(\)/if !q.running()/@calls continue after the caller has disconnected
TestFollowersLearnInTimeWhateverBecomesOfTheLeader@internal/control/follow.go@s/time.After\(leaderTimeout\)/time.After(time.Hour)/@a silent leader is followed forever
TestNoTwoHostsFollowEachOther@internal/control/follow.go@s/compareHosts\(h, self\) >= 0/compareHosts(h, self) > 1/@two hosts follow each other
TestConnectionsLeaveRoomForARestart@internal/control/view.go@s/connShare = 0.45/connShare = 0.9/@connections from before and after a power loss exceed the limit
TestWindowHoldsOverAnySpan@retry/window.go@s/> permitted \|\| .*permitted \{/> 2*permitted {/@the window permits too many extra attempts
TestOneSilentServerOfARelayCostsOneHedge@internal/gateway/query.go@s/maxSoftTimeoutShare = 0.2/maxSoftTimeoutShare = 0.9/@a relay delays its first reply
TestRequestThatReachesNobodyIsRefusedSoon@internal/gateway/query.go@s/return q.reachedServer \|\| q.running\(\)/return true/@a call that reached no server counts as an offer
TestRefusingReplicaIsChosenLess@replica/set.go@s/lossPenalty = 6/lossPenalty = 0/@refusals do not affect replica selection
TestRepeatedRejectionIsNoAnswerToARetry@internal/httppool/pool.go@s/conns\[i\].carried.has\(r.ID, now\)/conns[i].carried.has("", now)/@a connection carries the same request twice
TestRetryUsesAnotherIdleConnection@internal/httppool/pool.go@s/for i >= 0 && /if /@a connection that did not carry the request is not looked for
TestUnidentifiedResponseProvesNothingOnAUsedConnection@internal/httppool/receive.go@s/match == Unidentified && !first/match == Unidentified \&\& !first \&\& false/@a response without an ID counts for any request
TestUnidentifiedResponseAfterAForeignOneProvesNothing@internal/httppool/receive.go@s/first = false/_ = first/@a response without an ID counts after one to another request
TestErrorOfAMalformedResponseIsShortText@internal/httppool/errors.go@s/obs.Shorten\(err\)/err/; s/\t"github.com\/mallowgap\/mallowgap\/internal\/obs"\n//@errors repeat all that a server sent
TestFailureWithAnyBytesIsRelayed@internal/gateway/relay.go@s/obs.ShortText\(r.reason, maxRelayedReason\)/r.reason/; s/\t"github.com\/mallowgap\/mallowgap\/internal\/obs"\n//@a relay sends bytes that no message can hold
TestEndlessResponseEndsItsCall@internal/httppool/receive.go@s/l.left <= 0/false/@the head of a response has no limit
TestEndlessResponseEndsItsCall@internal/httppool/receive.go@s/return nil, errBodyTooLarge\n\t\t\}\n\t\treturn body, err/_ = head.Body.Close()\n\t\t\treturn nil, errBodyTooLarge\n\t\t}\n\t\treturn body, err/@a body is read on after its limit
TestEndlessResponseEndsItsCall@internal/httppool/receive.go@s/io.LimitReader\(head.Body, limit\+1\)/head.Body/@the body of an answer to another request has no limit
TestEndlessResponsesAtOnceShareALimit@internal/memlimit/memlimit.go@s/b.free < n/b.free < -1<<60/@responses that are read at once have no limit
TestEndlessResponsesAtOnceShareALimit@internal/httppool/receive.go@s/\tdefer memory.Release\(\)\n//@the memory of a response is never free again
TestEndlessAnswerOfTheStoreEndsItsCall@platform/store.go@s/, MaxResponseHeaderBytes: maxStoreHead//@the head of the store's answers has no limit
TestEndlessAnswerOfTheStoreEndsItsCall@platform/store.go@s/len\(content\) > maxStoreBody/false/@an answer of the store that is cut at its limit counts as whole
TestLateExtraAnswerBelongsToNobody@internal/httppool/receive.go@s/if match == Foreign \{/if false {/@a late answer to another request is accepted
TestBrokenAnswersAreErrors@internal/httppool/receive.go@s/return nil, (fmt.Errorf\("%w: %w", errTruncated, err\))/_ = $1\n\t\treturn body, nil/@a truncated answer is accepted
TestBytesAfterAnAnswerEndTheConnection@internal/httppool/pool.go internal/httppool/receive.go@s/ && c.reader.Buffered\(\) == 0//; s/ && isOpenAndEmpty\(c.Conn\)//@a connection with unexpected bytes is reused
TestEarlyAnswerToALongBodyEndsTheConnection@internal/httppool/pool.go@s/return response, false, err\n\t\}\n\}/return response, true, err\n\t}\n}/@the rest of a request body is read as another request
TestHostStartsSoonWhereTheStoreIsSilent@internal/control/peers.go@s/if v.StoreLost.IsZero\(\) && v.Revision > 0 \{/if v.StoreLost.IsZero() {/@a starting host waits for an unresponsive store
TestHalfOfTheRelaysLostAtOnce@internal/control/peerhealth.go@s/if _, suspected := p.probeAt\[h.Address\]; suspected \|\|/if time.Now().Before(p.probeAt[h.Address]) ||/@requests are used to probe a lost peer
TestSlowServerIsProbedByTheWholeFleetTogether@internal/gateway/attempt.go@s/q.view.HostCount\/fullRateProbers/0*fullRateProbers/@every host of a large fleet probes a slow server at the full rate
TestHostsLearnOfSlowServersFromTheRelay@internal/gateway/send.go@s/\trc.applyReport\(reply, now\)\n//@reports of relays about slow servers are ignored
TestDarkServerIsAvoided@internal/gateway/send.go@s/if canceled \{\n\t\treturn callCanceled\n\t\}\n\tout.unreachable/if canceled {\n\t\treturn callInconclusive\n\t}\n\tout.unreachable/@an abandoned connection attempt is not counted against the server
TestReplicaSilentFromTheStartIsAvoided@replica/observe.go@s/if elapsed > leaf.latency \{/if elapsed > leaf.latency && leaf.latency > 0 {/@a server that never answered keeps an unknown latency
TestRecentObservationTakesPrecedenceOverReport@replica/report.go@s/now.Sub\(leaf.lastObserved\) > localObservationTTL/true/@a report overrides fresh observations
TestTrimmedBatchesHoldTheGreatest@fanout/trimmer.go@s/Top\(t.top, t.best, records\)/Top(t.top, records, records)/@records count twice when the floor is raised
TestRequestWaitsForTheStartOfItsHost@internal/gateway/serve.go@s/startupWait = 150/startupWait = 0/@a starting host refuses every request
TestOversizedRequestsAreRefused@internal/gateway/serve.go@s/r.HeaderBytes > limits.HeaderBytes/false/@headers of any size are accepted
TestBodyIsReadUpToTheConfiguredLimit@platform/caller.go@s/maxBody := limits.BodyBytes/maxBody := 0/@a body is read beyond the limit
TestBudgetGoesFirstToQueriesThatLackLittle@fanout/extra.go@s/shareStep += 0.1/shareStep = 0.0/@the budget does not prefer nearly complete queries
TestPackedRepliesComeBack@internal/gateway/relaywire.go@s/(func unpackReply.*?)!= relaypb.Outcome_PART/$1== relaypb.Outcome_NOT_SENT/s@signatures are assigned to results without a part
TestForgottenConnectionsAreNotUsed@internal/peer/client.go@s/_ = conn.Close\(\) \/\/ Nothing/defer c.pool.Put(address, conn) \/\/ Nothing/@forgotten connections return to the pool
TestHostsDoNotGoBackToOneThatLostTheStore@internal/control/follow.go@s/now.Add\(leaderCooldown \+ rand.N\(leaderCooldown\/2\)\)/now/@a host that lost the store is followed again without a delay
TestEntriesArePacked@internal/control/wire.go@s/p.known == known && p.changed == u.changed/p.known == known/@packed entries of an older state are sent
TestEjectedReplicaIsReportedSlow@replica/report.go@s/silent \|\| o.Ejected/silent/@a server that fails fast is reported as healthy
TestFollowerOfACutLeaderLearnsAfterACompaction@internal/control/follow.go@s/if errors.Is\(err, ErrCompacted\) \{/if false {/@a compacted history counts as a lost store
TestThreeTimesTheCallers@internal/gateway/serve.go@s/if refused, ok := q.admit\(time.Now\(\)\); !ok \{/if refused, ok := q.admit(time.Now()); !ok && false {/@no request is refused under overload
TestRelayTellsRefusalsAtOnce@internal/gateway/relay.go@s/failureReplyDue = time.After\(failureReplyDelay\)/failureReplyDue = nil/@refusals are delayed until the parts are sent
TestQueueIsRememberedBetweenRareReports@replica/wait.go@s/halfLifeIntervals\*l.reportInterval/0*l.reportInterval/@the estimate of a queue decays between rare reports
TestReplicaThatLosesAnswersIsChosenLess@replica/eject.go@s/\tleaf.lossRate \+= ewmaWeight \* \(1 - leaf.lossRate\)\n//@failures do not affect replica selection
TestFloodOfTheLowerRankLeavesTheHigherAlone@admission/gate.go@s/floorShare\*\(1-g.refusedShare\)\*g.offeredWork\(\)\/r.work.value/0.2/@the guaranteed share of a rank grows with its demand
TestLateCallersComeLast@admission/gate.go@s/if r.late != request.Late \{/if false {/@late requests are queued with the others
TestWritesDoNotGrowWithTheHosts@internal/control/announce.go@s/if a.delegated.Load\(\) \{/if false {/@followers also write their own entries
TestEntryOfALostFollowerGoes@internal/control/announce.go@s/followerGrace = 3 \* time.Second/followerGrace = time.Hour/@the entry of a lost follower is not removed soon
TestEntriesOutliveTheHostThatKeepsThem@internal/control/announce.go@s/\t\tdelete\(a.written, a.name\).*?\n//@a host still treats an entry overwritten by another host as its own
TestPlannedStopRemovesTheEntry@internal/control/follow.go@s/request.Leaving, leave = true, nil/leave = nil/@a graceful shutdown is not announced
TestCallsInAnOutageDoNotGrowWithTheHosts@internal/control/follow.go@s/rank <= storeProbers/rank < 1000/@all hosts probe a lost store
TestRestartsInAnOutage@internal/control/sync.go@s/!c.loaded && !c.discovered && v.Initialized/false/@state received from peers does not count as loaded
TestStoreThatRefusesTheFirstHosts@internal/control/sync.go@s/maxPeersQueried = 6/maxPeersQueried = 0/@no peer is asked while the store is unavailable
TestHostsThatWentShareTheBudgetForAWhile@internal/control/state.go@s/return s.budgetSharers\n/return n\n/@the retry budget of departed hosts is redistributed at once
TestLinesDoNotGrowWithTheEntries@internal/control/state.go@s/if !s.view\(\).Share\(server, s.relaysPerDomain\).Calls\(s.self.Name, s.self.Domain\) \{/if false {/@every host logs every server
TestLinesBeyondTheBoundAreCountedInTheNextLine@internal/obs/bounded.go@s/e.Int64\("left_out", n\)//@dropped lines are not reported
TestConnectionsStayBelowTheLimitAtAnySize@internal/control/view.go@s/else if v.HostCount > usable \{/else if false {/@every host calls a server regardless of its connection limit
TestHostsPassRequestsOnWhereAServerHasFewConnections@internal/gateway/relay.go@s/if g.whole && r.reply != nil \{/if false {/@complete replies are not relayed
TestQueriesThatNeedOneScarceShardDoNotTakeAll@internal/gateway/attempt.go@s/if q.askOrder == nil \{/if true {/@every query calls all scarce shards
TestShardsThatCannotBeInTimeComeLast@scarcity/scarcity.go@s/case shards\[i\].Expected <= remaining:/case true:/@a shard that cannot be in time is not tried last
TestQueriesThatNeedNoneLeaveThemToOthers@scarcity/scarcity.go@s/if count > maxMissing \{/if false {/@queries that need no scarce shard use its capacity
TestNoMoreAreAskedThanTheLeastShareNeeds@scarcity/scarcity.go@s/\t\t\tverdicts\[i\] = Skip/\t\t\tverdicts[i] = Ask/@more scarce shards are called than needed
TestRequestsStayInTheirHomes@internal/gateway/pick.go@s/if !homes.Allow\(b.region\) \{/if !homes.Allow(b.region) && false {/@servers outside the home regions get requests
TestRequestsStayInTheirHomes|TestTwoHomesShareTheRequests@route/homes.go@s/return len\(h\) == 0 \|\| /return true || /@every region counts as a home region
TestEvacuatedDomainGetsNothing@internal/gateway/fleet.go@s/if s.Draining \|\| s.Evacuated \{/if s.Draining {/@an evacuated server gets requests
TestServerUnderItsOldIdentifierStartsAnew@internal/gateway/fleet.go@s/return s.Replaces\(before\) \|\| /return /@observations of a previous process are kept
TestLaterProcessUnderTheSameIdentifier@discovery/registry.go@s/if known.server.Replaces\(server\) \{/if false {/@a late entry of a previous process is accepted
TestUnreadableEntryNamesNoServer@internal/control/state.go@s/s.registry.Drop\(e.Name\)/false/@the previous entry stays in use
TestOnlyColdServersAreLeft@internal/gateway/cold.go@s/if wait, ok := b.cold.Take\(.*\n\t\treturn &coldError\{wait: wait\}\n\t\}/_ = b/@a cold server gets as many requests as the others
TestColdServerGetsNoMoreThanItTakes@limit/cold.go@s/coldUsableShare = 0.6/coldUsableShare = 1.5/@the hosts together give cold servers too many requests
TestFreeReplicaIsNotWaitedFor@replica/set.go@s/ \|\| leaf.Slots.Free\(now\) \{\n\t\t\tcontinue\n\t\t\}\n\t\tslotLimit/ {\n\t\t\tcontinue\n\t\t}\n\t\tslotLimit/@a query waits although a replica is free
TestIdleTimeIsNoSilenceOfAServer@internal/gateway/pick.go@s/\tg.set.Acquire\(i, now\)\n/\tb.leaf.Slots.Acquire(now)\n/@idle time before a call counts as silence
TestHostThatIsCutOffRefusesWhatItCannotServe@internal/gateway/reach.go@s/return lost > 0/return false/@an isolated host queues requests that it cannot serve
TestRequestThatEndsServersIsTurnedAway@quarantine/suspicion.go@s/return s.served == 0 && s.suspected \|\| s.unreported.Crashes > s.served/return false/@a query during which servers ended is not held back
TestQueryThatEndsServersIsTakenFromTheOthers@quarantine/suspicion.go@s/cancelThreshold = 2/cancelThreshold = 2000/@running calls of a query that ends servers are not cancelled
TestStanding@quarantine/standing.go@s/case len\(servers\) >= MinCrashes && len\(trials\) >= MinTrialCrashes:/case len(servers) >= MinCrashes:/@servers that ended suffice for quarantine without trials
TestBarredRequestIsTriedAgain@quarantine/book.go@s/now.Sub\(h.barredSince\) >= probation/true/@a barred request is tried again at once
TestBarOutlivesTheHosts|TestEveryKindOfRequestIsBarred@internal/guard/guard.go@s/g.store.PutRecord\(/_ = func(string, []byte) {}; func(string, []byte) {}(/@quarantine records are not stored
TestLogTellsWithWhichRequestAServerEnded@internal/gateway/send.go@s/out.serverCrashed = g.adapters.Backends.HasExited\(ctx, c.backend.Server\)/out.serverCrashed = true/@every broken connection counts as the end of a server
TestServersThatAreBackAtOnceAreKnownToHaveEnded@internal/guard/guard.go@s/range g.brokenCalls.Take\(process, now\) \{/range g.brokenCalls.Take(process, now)[:0] {/@entries in the store are not used as evidence of an end
TestHostThatWakesAloneIsReadyAgain@internal/control/wake.go@s/\ts.unconfirmedSince = now\n//@a resumed host does not doubt its stale state
TestRequestInHandEndsWithASuspension@internal/gateway/sleep.go@s/q.end, q.due, q.dispatchBy = q.end.Add\(-added\)/q.end, q.due, q.dispatchBy = q.end.Add(0)/; s/\tq.state.AddSuspension\(added\)\n//@the deadline of a request in flight ignores a suspension
TestCrashIsAttributedToOneRequest@quarantine/standing.go@s/case other.Standing == Barred && other.outweighs\(s\):/case false:/@an end counts against every request on the server
TestStanding@quarantine/standing.go@s/if !h.servedAt.IsZero\(\) \{\n\t\ts.Standing = min/if false {\n\t\ts.Standing = min/@a request that was served is barred anyway
TestBarAfterServedGraceIsPublished@internal/guard/guard.go@s/g.processChanges\("time"\)/g.requestCount.Store(int64(g.book.Len()))/@a bar that starts by passage of time is not announced
TestBarFollowingRemovalOfAnotherIsPublished@quarantine/standing.go@s/\n\tb.updateRelated\([a-z.]+\)//g@a bar that starts as another ends is not announced
TestQueryUnderWayEndsWhenItsContentIsBarred@internal/home/query.go@s/q.step\(q.recheckBarred\)/q.step(func() { q.quarantine.barredChanged = nil })/@queries in flight are not notified of a bar
TestTrialsLeaveShardsEnoughToServeOthers@internal/gateway/trial.go@s/running := q.running\(\)/running := t.shard >= 0 && q.state.Running(t.shard) > 0/@a trial starts while other calls are running
TestQueryWithoutPartsIsNotHedgedEarly@internal/gateway/attempt.go@s/need.Hedge && q.holdsHedges\(now\)/false/@hedges are sent before any shard has answered
TestSecondHostHearsBeforeTheTrialIsOver@internal/gateway/trial.go@s/q.reportCrashes\(now\) \/\/ A repeat.*//@peers are notified only after the trial
TestQueryThatLacksServersIsRefusedAtOnce@internal/gateway/serve.go@s/q.lacksServers\(time.Now\(\)\)/false/@queries wait for servers that no longer exist
TestHostsWithoutTheStoreDoNotEachFindOut@internal/control/records.go@s/if c.storeLost\(\) \{\n\t\tc.relayRecords.put/if false {\n\t\tc.relayRecords.put/@peers are not notified while the store is unavailable
TestHostThatWasToldLeavesTheTrialToTheOther@internal/gateway/trial.go@s/q.awaitTrial\(guard.TrialDeadline\(f\)\)/q.trial.Suspect(time.Time{})/@a notified host starts its own trials
TestStanding@quarantine/standing.go@s/MinTrialCrashes = 2/MinTrialCrashes = 1/@one end in a trial suffices for quarantine
TestServersGetTheTeamInPlaceOfTheKey|TestRequestsWithoutAKeyOfATeamAreRefused@internal/gateway/team.go@s/\tr.Header.Del\(g.adapters.TeamHeader\)\n//@the team that a caller names reaches the servers
TestServersGetTheTeamInPlaceOfTheKey@internal/gateway/team.go@s/\tr.Header.Del\(headerAuthorization\)\n//@the key of a team reaches the servers
TestServersGetTheTeamInPlaceOfTheKey@internal/gateway/team.go@s/\t\tr.Header.Set\(g.adapters.TeamHeader, found.Name\)\n//@servers are not told the team
TestMistakesInTheListOfTeams|TestRequestsWithoutAKeyOfATeamAreRefused@team/directory.go@s/return holder\{first.digest, noTeam\}/return first/@a key of two teams belongs to the first
TestRequestsWithoutAKeyOfATeamAreRefused@internal/gateway/team.go@s/case known \|\| entry.Public:/case known:/@a public route requires a key
TestRequestsWithoutAKeyOfATeamAreRefused@internal/gateway/team.go@s/case known \|\| entry.Public:/case known || true:/@every route is public
TestCredential@team/team.go@s/len\(authorization\) != 1/len(authorization) == 0/@the first of several credentials counts
TestRemovedKeyIsRefused@route/table.go@s/if len\(config.Teams\) > 0 \{/if len(config.Teams) > 0 && config.Version == 1 {/@keys of later configurations are ignored
TestWithoutTeamsKeysAreForwarded@internal/gateway/team.go@s/if teams == nil \{/if teams == nil {\n\t\tteams = team.NewDirectory(nil)\n\t}\n\tif false {/@without teams, keys are required
TestPriorityOfATeamDecidesOnAdmission@internal/gateway/admit.go@s/Rank: q.rank/Rank: q.entry.Rank()/@the priority of a team does not affect admission
TestFingerprintHoldsTheTeam@internal/gateway/trial.go@s/caller = r.Header.Get\(g.adapters.TeamHeader\)/caller = r.Team/@a relay computes another fingerprint than the requesting host
TestMistakesInOneTenant@platform/tenant.go@s/strings.ContainsRune\(key,/strings.ContainsRune("",/@a key with replaced bytes is accepted
TestInvalidLimit|TestMistakesInOneTenant@team/directory.go@s/\t\t\tlimit.Invalid = true\n//@a negative limit counts as no limit
TestLabelsOfTeamsAreBounded|TestMetricsByTeamAreBounded@team/busiest.go@s/if !b.named\[team\] \{/if false {/@every team has a label of its own
TestRelayChecksTeamsUnderItsNewerConfiguration@internal/gateway/relay.go@s/allowed := g.allowsRelayed\(m, request\)/allowed := true/@a relay passes on what its configuration does not allow
TestServersGetTheTeamInPlaceOfTheKey@internal/gateway/send.go@s/m.TeamsVersion = table.Version\(\)/_ = 0/@relays are not told that the key was checked
TestRelayChecksTeamsUnderItsNewerConfiguration@internal/gateway/team.go@s/m.GetTeamsVersion\(\) >= table.Version\(\)/m.GetTeamsVersion() > 0/@a relay serves removed teams
TestGateDecidesAloneWithoutAValidVerdict@admission/gate.go@s/ && now.Sub\(g.verdictAt\) <= MaxVerdictAge//@an old verdict decides
TestGateDecidesAloneWithoutAValidVerdict@admission/shared.go@s/!isShare\(c.Probability\) \|\| //@a verdict out of range decides
TestTeamAtTenTimesItsLoadCostsTheOthersNothing@admission/allocate.go@s/min\(len\(teams\), maxListedTeams\)/0/@a team with far more work than the others is not held to its part
TestOrderOfRefusal@admission/allocate.go@s/reservedShare\*available/available/@returns starve new requests in a lasting overload
TestOrderOfRefusal@admission/allocate.go@s/min\(floorShare\*admissible/min(0*admissible/@lower ranks lose their floors
TestSharedGateFollowsAStep@admission/sharedgate.go@s/float64\(target-c.lastWait\)\/float64\(drainTime\)/0/@the queue of a step is not worked off
TestSharedGateWithShortQueues@admission/sharedgate.go@s/saturationGain = 1.0/saturationGain = 0.0/@more is admitted than servers with short queues take
TestNoVerdictWithoutAWait@admission/sharedgate.go@s/now.Sub\(s.capacity.lastAt\) > MaxVerdictAge/false/@a verdict without a recent wait
TestHostsRefuseByTheSharedGate@internal/gateway/sharedgate.go@s/\tg.gate.ApplyVerdict\(v, now\)/\t_ = v/@hosts ignore verdicts
TestAppliedLoadCountsAsWait@replica/wait.go@s/\tif serviceTime > 0 && \(.*\n\t\tleaf.serviceTime = serviceTime\n\t\}\n//@the service time that another host observed is ignored
TestToldQueueMovesRequests@replica/wait.go@s/now.Sub\(l.queueReportedAt\) > ownQueueTTL && \(told > 0/false && (told > 0/@hosts ignore the queues that they were told
TestToldQueueMovesRequests@replica/wait.go@s/ \|\| now.Sub\(l.toldAt\) > ToldTTL//@a told queue holds forever
TestToldServiceTime@replica/wait.go@s/\(leaf.serviceTime == 0 \|\| now.Sub\(leaf.lastAnswer\) > ownQueueTTL\)/leaf.serviceTime == 0/@a host that seldom calls a server does not learn that it became slow
TestReportedLongRunIsNotTheServiceTime@replica/wait.go@s/ && \(leaf.serviceTime == 0 \|\| !s.LongRuns\(\)\)//@the run time of one long request displaces the told one
TestReportedLongRunIsNotTheServiceTime@replica/wait.go@s/now.Sub\(leaf.lastAnswer\) > ownQueueTTL/now.Sub(leaf.queueReportedAt) > ownQueueTTL/@the reports of others keep the coordinator's host from what it is told
TestBoardTellsNothingInCalm@replica/board.go@s/return atOnce \|\| now.Sub\(\*since\) >= persisted/return true/@pauses of servers are told to all hosts
TestBoardTellsQueues@replica/board.go@s/\* math.Exp2\(-float64\(now.Sub\(e.observedAt\)\)\/float64\(queueHalfLife\)\)//@a queue that nobody observes any more is told forever
TestBoardBoundsMessages@replica/board.go@s/changes = changes\[:min\(len\(changes\), maxBoardChanges\)\]\n//@messages about loads grow without bound
TestLongRunTimeExcludesWaits@replica/board.go@s/if e.long && started && l.ServiceTime > 0 \{/if started \&\& ended > 1<<30 {/@waits count as run time
TestLongRunTimeExcludesWaits@replica/board.go@s/e.busy < overdueFactor\*running\*e.serviceTime/true/@a server that became slow is found out only when a request ends
TestBoardTellsLongRequests@replica/board.go@s/\t\tdelete\(e.calls, host\)\n\t\}\n\}\n/\t\t_, _ = e, host\n\t}\n}\n/@the calls of a lost host count on
TestLongRequestsSpread@replica/wait.go@s/return time.Duration\(toldSpread \*/return time.Duration(0 */@all hosts choose the same server between two messages
TestLongRequestsSpread@replica/set.go@s/if !s.toldLong\(leaf\) \{/if true {/@each host probes slow servers with the few requests that it has
TestLoadsArePushed@internal/coordination/server.go@s/(s.verdictsDue), s.loadsDue = true, true/$1 = true/@loads are not told unless a verdict changes
TestLoadsArePushed@internal/coordination/server.go@s/, Loads: loadsToWire\(s.config.Gates.CombinedLoads\(\)\)//@a host that connects is not told which servers are loaded
TestSlowReceiverLosesNoLoad@internal/coordination/link.go@s/into.Loads = mergeLoads\(into.GetLoads\(\), m.GetLoads\(\)\)/into.Loads = m.GetLoads()/@a change of a load is lost for a host that reads slowly
TestIdleHostsLearnLoads@internal/gateway/sharedgate.go@s/\t\tk.board.Observe\(.*\n//@the coordinator tells no loads
TestIdleHostsLearnStarts@internal/gateway/send.go@s/\tg.reportStart\(c\)\n//@a server that is full is known only when a request ends
TestHostsMoveWhenTheCoordinatorFreezes@internal/coordination/session.go@s/\} else if silent \{/} else if silent \&\& false {/@a silent coordinator is kept forever
TestSilentHostIsDropped@internal/coordination/server.go@s/if now.Sub\(l.heard\) >= silenceTimeout \{/if false {/@a host that is not heard any more counts as connected
TestLateGrantIsReturned@internal/coordination/account.go@s/\} else if granted > 0 \{/} else if false {/@an allowance that came too late is lost
TestSlowReceiverDelaysNobody@internal/coordination/link.go@s/excess > 0 \{/excess > 1<<30 {/@what waits for a host that does not read grows without bound
TestOldVersionIsSkipped@internal/coordination/coordination.go@s/if peer.Unimplemented\(err\) \{/if false {/@a host of an older version is tried again and again
TestNothingIsSentUnlessNeeded@internal/coordination/session.go@s/case !enabled:/case !enabled \&\& false:/@hosts stay connected without anything to coordinate
TestGracefulStopMovesHostsAtOnce@internal/coordination/server.go@s/s.stopping = true\n\t\ts.dropAll\(errStopping, now\)/s.stopping = true/@a coordinator that stops keeps its hosts until it has ended
TestSessionOverRealConnection@internal/coordination/session.go@s/defer closeStream\(stream\)\n/defer func() { _ = closeStream }()\n/@a host that moves counts as one that ended
TestVerdictsOutOfRangeAreDropped@internal/coordination/wire.go@s/return !math.IsNaN\(x\) && x >= 0 && x <= 1/_ = math.Pi; return true/@a verdict out of range is obeyed
TestMeteredTeamsArePushed@internal/coordination/server.go@s/l.offer\(&relaypb.CoordinateVerdict\{Metered: teams, HasMetered: true\}\)/_ = l/@hosts do not learn which teams are metered
TestHostsMoveWhenTheCoordinatorDies@internal/coordination/account.go@s/\tfor _, asked := range a.asks \{\n\t\ta.unsent = append\(a.unsent, asked\)\n\t\}\n//@asks are lost with the coordinator that they were sent to
TestRequestThatWasNotRunIsGivenBack@internal/gateway/quota.go@s/a.Outcome == NotRun && member/false \&\& member/@requests that were not run count against the limit
TestCoordinationIsNeededByLimitsOrSize@internal/gateway/coordinate.go@s/s.minHosts > 0 && v.HostCount >= s.minHosts/true/@hosts coordinate without need
TestFractionsOfTwoLedgers@quota/bound.go@s/share := fraction \* /share := 1.0 * /@a ledger grants the fraction of hosts that it does not hear
TestHotTeamStaysWithinTheBound@quota/ledger.go@s/l.settle\(1-float64\(complete\)\/float64\(known\), now\)/l.settle(0, now)/@a new ledger begins with full buckets though hosts have started anew
TestLowerLimitBindsAtOnce|TestHotTeamStaysWithinTheBound@quota/bucket.go@s/min\(b.level\+float64\(n\), b.depth\)/b.level+float64(n)/@a bucket fills beyond its depth
TestHotTeamStaysWithinTheBound@quota/ledger.go@s/case !a.unlimited \&\& a.level < a.below:/case false:/@no team becomes metered
TestHotTeamStaysWithinTheBound@quota/own.go@s/share := \(usable - limit.Burst\) \/ float64\(hosts\)/share := usable/@a host that is cut off uses the whole limit
TestHotTeamStaysWithinTheBound@quota/own.go@s/ && !begin.Before\(epoch\)//@hosts that are cut off begin with a request each
TestReservedAllowance@quota/bucket.go@s/!b.places\[0\].After\(now\) && .* >= 1 \{/true {/@a caller that comes early gets its reserved place
TestReservedAllowance@quota/bucket.go@s/ && b.level\+rounding >= 1 \{/ {/@a place is granted though the allowance was used
TestCallersThatDoNotReturnCostLittle@quota/bucket.go@s/placeTTL = 100 \* time.Millisecond/placeTTL = 100 * time.Second/@allowances of callers that do not return are lost
TestCallersOnTimeGoFirst@quota/ledger.go@s/!ask.Late \|\| a.free\(\) >= min\(lateReserve, a.depth\)/true/@late callers use up the limit of a team
TestReadyReplyIsDeliveredWhenTheTimeIsOver@internal/gateway/query.go@s/\tq.drainEvents\(\)\n\tif afterReplies/\tif afterReplies/@a reply that is ready loses against the end of the time
TestFailureAfterAReplyDoesNotReplaceIt@internal/gateway/query.go@s/r.reply != nil && !q.state.Covered\(r.shard\)/r.reply != nil/@the failure of one server replaces the reply of another
TestPanicBeforeSendingReleasesTheSlot@internal/gateway/serve.go@s/\tq.abandonUnsent\(\)\n//@a panic before sending keeps slots taken
TestPanicWhileARequestIsServedIsAnswered@platform/caller.go@s/\t\tdefer recoverHandler\(.*\)\n//@a panic closes the connection of the caller
TestPanicOfAListenerDoesNotEndTheControlState@internal/control/state.go@s/s.contain\("change of servers", func\(\) \{ (.*) \}\)\n/$1\n/@a panic in the request path keeps the state from being published
TestHeadWithoutEndIsRefused@internal/callerconn/request.go@s/c.headBytes > c.headLimit\+readAhead/false/@a head has no limit while it is read
TestLowerLimitOfAHeadCountsFromTheNextRequest@internal/callerconn/conn.go@s/\tc.phase = awaiting\n\tif/\tif/@heads of further requests have no beginning
TestStalledRequestsMakeRoom@internal/callerconn/memory.go@s/\tm.evict\(shares\[victim\], requests\[victim\]\)/\t_ = shares\n\t\tm.evict(first.share, requests[victim])/@requests that hold still keep their memory
TestServedRequestsAreKept@internal/callerconn/memory.go@s/s.whole \|\| s.evicted/s.evicted/@a request that may run is refused
TestServedRequestsAreKept@internal/callerconn/memory.go@s/patience = evict.Tenure - min\(now.Sub\(first.since\), now.Sub\(m.stuckSince\)\)/patience = maxWait - now.Sub(first.since)/@a request waits for memory that served ones hold
TestRequestsThatHaveJustBegunAreKept@internal/callerconn/body.go@s/if err := grow\(length\); err != nil \{\n\t\treturn nil, err\n\t\}\n\treturn memlimit.ReadUpTo\(body, length, min\(length, bodyBuffer\), func\(int64\) error \{ return nil \}\)/return memlimit.ReadUpTo(body, length, min(length, bodyBuffer), grow)/@the memory of an announced body is taken piece by piece
TestMemoryIsFreeAfterEachRequest@internal/callerconn/conn.go@s/\tc.releaseShare\(\)\n\tif end, first/\tif end, first/@the memory of a caller that left is never free
TestUnfinishedMessagesMakeRoom@internal/callerconn/messages.go@s/s != nil && c.messages.memory.grow\(s, int64\(n\)\) != nil && /s != nil \&\& /@unfinished messages have no limit
TestFinishedMessagesTakeNothing@internal/callerconn/messages.go@s/if c.reading--; c.reading > 0 \{/if c.reading--; c.reading >= 0 {/@finished messages count
TestFastRequestGoesBeforeSlowOnes@internal/callerconn/memory.go@s/cmp.Or\(cmp.Compare\(a.turn, b.turn\), (.*)\)\n/cmp.Or($1)\n/@slow callers get memory before fast ones
TestUnreadAnswerFreesMemory@internal/callerconn/conn.go@s/return c.phase == serving, nil/return false, nil/@a caller that does not read keeps the memory of its request
TestForMemoryChoosesWhoHoldsMostForLongest@evict/evict.go@s/float64\(r.Held\) \* float64\(r.Age\)/float64(r.Held)/@who holds for long stays
TestSilentConnectionsMakeRoom@internal/callerconn/tracker.go@s/err == nil && !l.tracker.admit\(\)/false/@connections have no limit
TestForConnectionChoosesWhatCostsLeast@evict/evict.go@s/if c.Busy \{\n\t\t\tcontinue\n\t\t\}//@a connection whose request is served makes room
TestServedConnectionsAreKept@evict/evict.go internal/callerconn/room.go@s/if c.Busy \{\n\t\t\tcontinue\n\t\t\}//; s/if c.phase == serving && /if false \&\& /@a connection whose request is served is closed
TestUnreadAnswerMakesRoom@internal/callerconn/room.go@s/return !c.writeSince.IsZero\(\) && /return false \&\& /@callers that do not read keep their connections
TestIdleConnectionMakesRoom@internal/callerconn/room.go@s/connections\[victim\].Idle && open < /false \&\& open < /@an idle connection is closed under a request on its way
TestStoppingListenerAcceptsWhatWaits@internal/callerconn/tracker.go@s/if !ok \|\| !tracked.stop\(\) \{/if ok || !tracked.stop() {/@a stop resets connections that wait to be accepted
TestShutdownAnswersARequestThatIsBeingRead@internal/callerconn/conn.go@s/c.idleSince.IsZero\(\) \|\| //@a connection of which a request is read is closed as idle
TestRequestsThatAShutdownAbortsAreAnswered@internal/gateway/gateway.go@s/\tclose\(g.aborting\)\n//@requests in flight at the end of a stop are cut
TestWaitForTheAllowanceEndsWithTheRequest@internal/gateway/quota.go@s/if ruling.Action == quota.AskFirst && /if false \&\& /@a request that was not decided is refused without a reason
LIST
exit $survived
