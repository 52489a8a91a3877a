package capacity

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// Design size and rates.
const (
	designHosts             = 4300
	designServices          = 100
	designChangesPerSecond  = 10000.0 / 86400
	designRestartsPerSecond = 11000.0 / 86400
	messagesPerSecond       = 4      // a probe and its reply, sent and received, at 2 intervals a second
	factsPerRestart         = 2      // leaving or dead, and alive again
	sendsPerFact            = 3 * 13 // member.retransmitFactor * bits.Len(designHosts+1), the limit in member.Table.PendingFacts
)

// Results holds all measurements.
type Results struct {
	Slopes []Slope
	// PropagationTimes holds pairs of a number of hosts and the modelled time until a
	// revision is in force, in seconds.
	PropagationTimes [][2]float64
}

// Measure runs all measurements and prints each slope to progress. It takes a few
// minutes and a few GiB of memory.
func Measure(progress io.Writer) Results {
	var r Results
	add := func(slopes ...Slope) {
		for _, s := range slopes {
			fmt.Fprintf(progress, "%s: %.4g + %.4g per %s, residual %.1f%%\n", s.Name, s.Base, s.PerUnit, s.SizeUnit, 100*s.Residual)
		}
		r.Slopes = append(r.Slopes, slopes...)
	}
	add(measureMembers()...)
	add(measureMessages())
	add(measureConfigs()...)
	add(measureRoutes()...)
	add(measureFanOut()...)
	add(measureSpread())
	for _, n := range fleetSizes {
		r.PropagationTimes = append(r.PropagationTimes, [2]float64{float64(n), modelPropagation(n, 20)})
	}
	return r
}

// find returns the first slope whose name begins with prefix.
func (r Results) find(prefix string) Slope {
	for _, s := range r.Slopes {
		if strings.HasPrefix(s.Name, prefix) {
			return s
		}
	}
	panic("capacity: no slope " + prefix)
}

// WriteSlopes writes the tables of slopes and of the modelled times.
func (r Results) WriteSlopes(w io.Writer) {
	fmt.Fprintln(w, "| what | at sizes | unit | fitted line | largest residual |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, s := range r.Slopes {
		points := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(w, "| %s | %s | %s | %.4g + %.4g a %s | %.1f%% |\n",
			s.Name, strings.Join(points, "; "), s.Unit, s.Base, s.PerUnit, strings.TrimSuffix(s.SizeUnit, "s"), 100*s.Residual)
	}
	fmt.Fprintln(w, "\n| hosts | revision in force at 999 in 1,000 of the live hosts, s (model, worst of 20 runs) |\n| --- | --- |")
	for _, p := range r.PropagationTimes {
		fmt.Fprintf(w, "| %g | %.2f |\n", p[0], p[1])
	}
}

// WriteHost writes a table of the control plane's cost for one host at the design
// size.
func (r Results) WriteHost(w io.Writer) {
	heartbeat := r.find("heartbeat message")
	factsPerMessage := designRestartsPerSecond * factsPerRestart * sendsPerFact / messagesPerSecond
	// A message holds at most 16 facts, which is member.maxFacts.
	calm := messagesPerSecond * heartbeat.At(min(factsPerMessage, 16))
	burst := messagesPerSecond * heartbeat.At(16)
	changeTime := r.find("change of one service")
	headBytes := r.find("head, size").At(designServices) * 1024
	partBytes := (r.find("whole configuration, size").PerUnit - r.find("head, size").PerUnit) * 1024
	configBytes := designChangesPerSecond * (headBytes + partBytes + 2*pushFanOut*heartbeat.At(0))
	memberTime := r.find("change of a member").At(designHosts)
	placementTime := r.find("placement").At(designHosts) * designServices
	memberCPU := designRestartsPerSecond * factsPerRestart * (memberTime + placementTime) / 1e6
	// A host starts two exchanges of heartbeats a second and answers two on average. Each counts as
	// one measured heartbeat interval.
	heartbeatCPU := 4 * r.find("heartbeat interval").At(designHosts) / 1e6
	configCPU := designChangesPerSecond * changeTime.At(designServices) / 1e6
	tableKiB := r.find("member table").At(designHosts)
	configKiB := r.find("whole configuration, memory").At(designServices)
	fmt.Fprintln(w, "| what | formula | calm | budget |\n| --- | --- | --- | --- |")
	fmt.Fprintf(w, "| heartbeats, B/s | %d messages/s x size at %.1f facts | %.0f (%.0f with 16 facts each, the bound) | |\n", messagesPerSecond, factsPerMessage, calm, burst)
	fmt.Fprintf(w, "| configuration, B/s | %.3f changes/s x (head + 1 part + pushes) | %.0f | |\n", designChangesPerSecond, configBytes)
	fmt.Fprintf(w, "| **bytes, sum** | | **%.0f** (%.0f in a burst) | 5,000 |\n", calm+configBytes, burst+configBytes)
	fmt.Fprintf(w, "| heartbeats, core | 4/s x interval | %.5f%% | |\n", 100*heartbeatCPU)
	fmt.Fprintf(w, "| member changes, core | %.3f/s x (taken in + placement of %d services) | %.2f%% | |\n", designRestartsPerSecond*factsPerRestart, designServices, 100*memberCPU)
	fmt.Fprintf(w, "| configuration, core | %.3f/s x made and taken in | %.3f%% | |\n", designChangesPerSecond, 100*configCPU)
	fmt.Fprintf(w, "| **processor, sum** | | **%.2f%%** | 3.8%% |\n", 100*(heartbeatCPU+memberCPU+configCPU))
	fmt.Fprintf(w, "| **memory, MiB** | member table %.0f KiB + configuration %.0f KiB | **%.1f** | 64 |\n", tableKiB, configKiB, (tableKiB+configKiB)/1024)
}

// Markers of the generated sections of the page.
const (
	slopesMarker = "slopes"
	hostMarker   = "host"
)

// Rewrite replaces the generated sections of the page at path.
func (r Results) Rewrite(path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var slopes, host strings.Builder
	r.WriteSlopes(&slopes)
	r.WriteHost(&host)
	text, err := replaceBetween(string(page), slopesMarker, slopes.String())
	if err != nil {
		return err
	}
	if text, err = replaceBetween(text, hostMarker, host.String()); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o644)
}

// replaceBetween replaces the text between the begin and end comments of marker.
func replaceBetween(page, marker, content string) (string, error) {
	begin, end := "<!-- begin "+marker+" -->\n", "<!-- end "+marker+" -->"
	i, j := strings.Index(page, begin), strings.Index(page, end)
	if i < 0 || j < i {
		return "", fmt.Errorf("the page has no section %q: restore its begin and end comments", marker)
	}
	return page[:i+len(begin)] + content + page[j:], nil
}
