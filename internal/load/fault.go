package load

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/mallowgap/mallowgap/api/platformpb"
	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/config"
)

// runFault starts a fault at its time after begin and ends it, unless the fault
// has no end.
func (r *runner) runFault(ctx context.Context, f *settingspb.FaultSection, begin time.Time) {
	if config.Sleep(ctx, time.Until(begin.Add(f.GetAt().AsDuration()))) != nil {
		return
	}
	r.setFault(ctx, f, true)
	until := f.GetUntil().AsDuration()
	if until <= 0 {
		return
	}
	_ = config.Sleep(ctx, time.Until(begin.Add(until)))
	r.setFault(ctx, f, false)
}

// setFault sets or clears a fault in the stand-ins. Errors of control calls are
// ignored: only one of the leaf processes runs the target, and the others fail.
func (r *runner) setFault(ctx context.Context, f *settingspb.FaultSection, active bool) {
	if f.GetKind() == "outage" {
		if r.platform != nil {
			_, _ = r.platform.SetPlatformFaults(ctx, &platformpb.PlatformFaults{Outage: active})
		}
		return
	}
	for _, target := range strings.Split(f.GetTarget(), ",") {
		faults := &platformpb.LeafFaults{Address: strings.TrimSpace(target)}
		if active {
			fillLeafFaults(f, faults)
		}
		for _, c := range r.leafControls {
			_, _ = c.SetLeafFaults(ctx, faults)
		}
	}
}

// fillLeafFaults sets the fields of faults that f asks for.
func fillLeafFaults(f *settingspb.FaultSection, faults *platformpb.LeafFaults) {
	switch f.GetKind() {
	case "slow":
		faults.SlowFactor = f.GetFactor()
	case "down":
		faults.Down = true
	case "shed":
		faults.ShedAll = true
	case "silent":
		faults.Silent = true
	case "fail":
		faults.FailFast = true
	case "drain":
		faults.Draining = true
	case "versions":
		for _, v := range strings.Split(f.GetVersions(), ",") {
			if n, err := strconv.ParseUint(strings.TrimSpace(v), 10, 64); err == nil {
				faults.IndexVersions = append(faults.IndexVersions, n)
			}
		}
	}
}
