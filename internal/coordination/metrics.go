package coordination

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/mallowgap/mallowgap/internal/obs"
)

var (
	asksTotal       = metrics.GetOrCreateCounter("mallowgap_quota_asks_total")
	grantsTotal     = metrics.GetOrCreateCounter("mallowgap_quota_grants_total")
	unansweredTotal = metrics.GetOrCreateCounter("mallowgap_quota_asks_unanswered_total")
	// coordinatorChanges counts the streams that were opened to a coordinator.
	coordinatorChanges = metrics.GetOrCreateCounter("mallowgap_coordinator_changes_total")
	// connectedHosts is the number of hosts that are connected to this one as their coordinator.
	connectedHosts = metrics.GetOrCreateGauge("mallowgap_coordinated_hosts", nil)

	refusedByCoordinator = obs.Counter("mallowgap_quota_refusals_total", "by", "coordinator")
	refusedByFraction    = obs.Counter("mallowgap_quota_refusals_total", "by", "fraction")
)
