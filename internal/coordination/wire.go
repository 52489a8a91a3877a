package coordination

import (
	"math"
	"time"

	"github.com/mallowgap/mallowgap/admission"
	"github.com/mallowgap/mallowgap/api/relaypb"
	"github.com/mallowgap/mallowgap/quota"
	"github.com/mallowgap/mallowgap/replica"
)

const (
	// maxCount limits the counts of requests in a message. No host runs as many in a window.
	maxCount = 1 << 20
	// maxWireDuration limits the durations in a message, far above any timeout of a request.
	maxWireDuration = time.Hour
)

// micros converts a duration on the wire.
func micros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxWireDuration/time.Microsecond))) * time.Microsecond
}

// millis converts a duration on the wire.
func millis(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxWireDuration)
}

// toMicros converts a duration for the wire.
func toMicros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

// toMillis converts a duration for the wire. It rounds up, so that nobody returns too early.
func toMillis(d time.Duration) uint32 {
	d = min(max(d, 0), maxWireDuration)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// clampCount limits a count on the wire.
func clampCount(n uint32) int { return int(min(n, maxCount)) }

func countsFromWire(counts []*relaypb.TeamCount) []quota.Count {
	if len(counts) == 0 {
		return nil
	}
	list := make([]quota.Count, 0, len(counts))
	for _, c := range counts {
		n := min(max(int(c.GetCount()), -maxCount), maxCount)
		list = append(list, quota.Count{Team: c.GetTeam(), Requests: n, Age: millis(c.GetAgeMs())})
	}
	return list
}

func countsToWire(counts []quota.Count) []*relaypb.TeamCount {
	var list []*relaypb.TeamCount
	for _, c := range counts {
		n := int32(min(max(c.Requests, -maxCount), maxCount))
		list = append(list, &relaypb.TeamCount{Team: c.Team, Count: n, AgeMs: uint32(min(max(c.Age, 0), maxWireDuration) / time.Millisecond)})
	}
	return list
}

// offeredFromWire returns the offered work by service.
func offeredFromWire(work []*relaypb.OfferedWork) map[string][]admission.Offered {
	if len(work) == 0 {
		return nil
	}
	byService := map[string][]admission.Offered{}
	for _, w := range work {
		byService[w.GetService()] = append(byService[w.GetService()], admission.Offered{
			Class:    admission.Class{Rank: w.GetRank(), Late: w.GetLate(), Returning: w.GetReturning(), Team: w.GetTeam()},
			Requests: clampCount(w.GetCount()), Work: micros(w.GetWorkUs()), Objective: micros(w.GetObjectiveUs()),
		})
	}
	return byService
}

func offeredToWire(service string, o admission.Offered) *relaypb.OfferedWork {
	return &relaypb.OfferedWork{
		Service: service, Rank: o.Rank, Late: o.Late, Returning: o.Returning, Team: o.Team,
		Count: uint32(min(max(o.Requests, 0), maxCount)), WorkUs: toMicros(o.Work), ObjectiveUs: toMicros(o.Objective),
	}
}

func loadsFromWire(loads []*relaypb.ServerLoad) []replica.ServerLoad {
	var list []replica.ServerLoad
	for _, l := range loads {
		list = append(list, replica.ServerLoad{
			Server: l.GetServer(), Waiting: clampCount(l.GetWaiting()), ServiceTime: micros(l.GetServiceTimeUs()), InFlight: clampCount(l.GetInFlight()),
		})
	}
	return list
}

func loadToWire(l replica.ServerLoad) *relaypb.ServerLoad {
	return &relaypb.ServerLoad{
		Server: l.Server, Waiting: uint32(min(max(l.Waiting, 0), maxCount)), ServiceTimeUs: toMicros(l.ServiceTime),
		InFlight: uint32(min(max(l.InFlight, 0), maxCount)),
	}
}

func loadsToWire(loads []replica.ServerLoad) []*relaypb.ServerLoad {
	list := make([]*relaypb.ServerLoad, len(loads))
	for i, l := range loads {
		list[i] = loadToWire(l)
	}
	return list
}

// verdictsFromWire returns the verdicts by service without those that are out of range: without a
// verdict, a host decides alone.
func verdictsFromWire(gates []*relaypb.GateVerdict) map[string]admission.Verdict {
	verdicts := make(map[string]admission.Verdict, len(gates))
	for _, g := range gates {
		if v, ok := verdictFromWire(g); ok {
			verdicts[g.GetService()] = v
		}
	}
	return verdicts
}

func verdictFromWire(g *relaypb.GateVerdict) (admission.Verdict, bool) {
	v := admission.Verdict{Wait: micros(g.GetWaitUs()), RefusedShare: g.GetRefusedShare()}
	if !isShare(v.RefusedShare) {
		return v, false
	}
	for _, c := range g.GetClasses() {
		if !isShare(c.GetProbability()) {
			return v, false
		}
		v.Classes = append(v.Classes, admission.ClassVerdict{
			Class:       admission.Class{Rank: c.GetRank(), Late: c.GetLate(), Returning: c.GetReturning(), Team: c.GetTeam()},
			Probability: c.GetProbability(), RetryAfter: millis(c.GetRetryAfterMs()), Spread: millis(c.GetSpreadMs()),
		})
	}
	return v, true
}

// isShare reports whether x is a number from 0 to 1.
func isShare(x float64) bool { return !math.IsNaN(x) && x >= 0 && x <= 1 }

func verdictToWire(service string, v admission.Verdict) *relaypb.GateVerdict {
	g := &relaypb.GateVerdict{Service: service, WaitUs: toMicros(v.Wait), RefusedShare: v.RefusedShare}
	for _, c := range v.Classes {
		g.Classes = append(g.Classes, &relaypb.ClassVerdict{
			Rank: c.Rank, Late: c.Late, Returning: c.Returning, Team: c.Team,
			Probability: c.Probability, RetryAfterMs: toMillis(c.RetryAfter), SpreadMs: toMillis(c.Spread),
		})
	}
	return g
}
