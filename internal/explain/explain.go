// Package explain reconstructs from the logs of several hosts what happened to a
// request: the log lines of the request, and the lines about state changes of the
// servers and peers that they mention. It also reports over all requests.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// contextWindow is the time before a request in which state changes are included.
const contextWindow = 30 * time.Second

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	Request string
	// Fields are all fields of the line.
	Fields map[string]any
	// text is the JSON text of the line.
	text string
}

// Read parses a log. Lines that are not JSON objects with a message are skipped and
// counted; text before the object is ignored.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, text: text[start:]}
	l.Host, _ = fields["host"].(string)
	l.Message, _ = fields["message"].(string)
	l.Request, _ = fields["request"].(string)
	timestamp, _ := fields["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, timestamp) // A line without a valid time sorts first.
	return l, l.Message != ""
}

// History is the history of a request.
type History struct {
	// Lines are ordered by time.
	Lines []Line
	// Gaps describe the information that is missing from the logs.
	Gaps []string
}

// HistoryOf returns the history of the request with the given identifier.
func HistoryOf(lines []Line, request string) History {
	var requestLines []Line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return History{Gaps: []string{"no line mentions the request: it did not reach these hosts, or its line was dropped (mallowgap_log_lines_sampled_total, mallowgap_log_lines_dropped_total)"}}
	}
	h := History{Lines: slices.Concat(requestLines, stateChanges(lines, requestLines), sameFingerprint(lines, requestLines))}
	slices.SortStableFunc(h.Lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	h.Gaps = append(requestGaps(requestLines), sampledGaps(h.Lines)...)
	return h
}

// sameFingerprint returns the lines about servers that crashed during other requests
// with the same fingerprint, and about changes of its quarantine standing.
func sameFingerprint(lines, requestLines []Line) []Line {
	var fingerprints []string
	for _, l := range requestLines {
		if p := l.textField("fingerprint"); p != "" && !slices.Contains(fingerprints, p) {
			fingerprints = append(fingerprints, p)
		}
	}
	var found []Line
	for _, l := range lines {
		isQuarantineLine := strings.HasPrefix(l.Message, crashMessage) || l.Message == standingMessage
		if isQuarantineLine && l.Request != requestLines[0].Request && slices.Contains(fingerprints, l.textField("fingerprint")) {
			found = append(found, l)
		}
	}
	return found
}

// stateChanges returns the lines of the same hosts, shortly before or during the
// request, about a server or peer that the request's lines mention, or about
// neither, such as those about the store.
func stateChanges(lines, requestLines []Line) []Line {
	from, to := requestLines[0].Time, requestLines[0].Time
	hosts := map[string]bool{}
	for _, l := range requestLines {
		hosts[l.Host] = true
		if l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	var found []Line
	for _, l := range lines {
		if l.Request != "" || l.Message == standingMessage || !hosts[l.Host] || l.Time.Before(from.Add(-contextWindow)) || l.Time.After(to) {
			continue
		}
		if isRelevant(l, requestLines) {
			found = append(found, l)
		}
	}
	return found
}

// isRelevant reports whether a line is about a server or peer that the request's
// lines mention, or about none in particular.
func isRelevant(l Line, requestLines []Line) bool {
	subjects := l.subjects()
	for _, o := range requestLines {
		if slices.ContainsFunc(subjects, func(name string) bool { return strings.Contains(o.text, name) }) {
			return true
		}
	}
	return len(subjects) == 0
}

// subjects returns the identifiers of the servers that a line is about, or else
// the name of the peer.
func (l Line) subjects() []string {
	if name, ok := l.Fields["server"].(string); ok {
		return []string{name}
	}
	var names []string
	servers, _ := l.Fields["servers"].([]any)
	for _, server := range servers {
		if text, ok := server.(string); ok {
			id, _, _ := strings.Cut(text, " ")
			names = append(names, id)
		}
	}
	if name, ok := l.Fields["peer"].(string); ok && len(names) == 0 {
		names = append(names, name)
	}
	return names
}

// requestGaps describes what is missing from the request's lines.
func requestGaps(requestLines []Line) []string {
	var missing []string
	hasRequestLine, relayed := false, false
	for _, l := range requestLines {
		switch l.Message {
		case "request":
			hasRequestLine = true
			n, _ := l.Fields["relayed"].(float64)
			relayed = relayed || n > 0
			if dropped, ok := l.Fields["notes_dropped"].(float64); ok {
				missing = append(missing, fmt.Sprintf("%v more notes of %s were dropped, as its line was full", dropped, l.Host))
			}
		}
	}
	if !hasRequestLine {
		missing = append(missing, "the line of the host that received the request is missing")
	}
	if relayed && !slices.ContainsFunc(requestLines, func(l Line) bool { return l.Message == "relayed calls" }) {
		missing = append(missing, "calls went through relays whose lines are missing: their logs were not given, or the lines were dropped")
	}
	return missing
}

// sampledGaps describes where hosts dropped lines to limit their log rate.
func sampledGaps(lines []Line) []string {
	var gaps []string
	for _, l := range lines {
		if n, ok := l.Fields["left_out"].(float64); ok {
			gaps = append(gaps, fmt.Sprintf("%s dropped %v lines before %s", l.Host, n, l.Time.Format("15:04:05.000")))
		}
	}
	return gaps
}

// commonFields are the fields of every line; details omits them.
var commonFields = map[string]bool{"time": true, "host": true, "message": true, "level": true, "request": true}

// Write prints the history, each log line followed by its notes and its stack trace.
func (h History) Write(w io.Writer) error {
	for _, l := range h.Lines {
		if _, err := fmt.Fprintf(w, "%s %s: %s%s\n", l.Time.Format("15:04:05.000"), l.Host, l.Message, l.details()); err != nil {
			return err
		}
		notes, _ := l.Fields["notes"].([]any)
		if stack := l.textField("stack"); stack != "" {
			for frame := range strings.SplitSeq(strings.TrimSpace(stack), "\n") {
				notes = append(notes, frame)
			}
		}
		for _, note := range notes {
			if _, err := fmt.Fprintf(w, "    %v\n", note); err != nil {
				return err
			}
		}
	}
	for _, gap := range h.Gaps {
		if _, err := fmt.Fprintf(w, "incomplete: %s\n", gap); err != nil {
			return err
		}
	}
	return nil
}

// details returns the other fields as KEY=VALUE, sorted by key.
func (l Line) details() string {
	var keys []string
	for key := range l.Fields {
		if !commonFields[key] && key != "notes" && key != "stack" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}
