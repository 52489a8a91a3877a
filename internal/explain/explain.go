// Package explain tells from the logs of several hosts what happened to one
// request: its own lines, and the lines by which hosts changed what they
// believed of the servers and peers that it names.
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

// before is for how long before a request a change of belief still explains it.
const before = 30 * time.Second

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	Request string
	// Fields are all fields of the line.
	Fields map[string]any
	// text is the line as it was written.
	text string
}

// Read returns the lines of a log. What is not a JSON object is skipped and
// counted; text before an object on its line is ignored.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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
	stamp, _ := fields["time"].(string)
	l.Time, _ = time.Parse(time.RFC3339Nano, stamp) // A line without a time comes first.
	return l, l.Message != ""
}

// Story is what the logs tell of a request.
type Story struct {
	// Lines are in the order of time.
	Lines []Line
	// Gaps says what the logs do not tell.
	Gaps []string
}

// Of returns the story of a request.
func Of(lines []Line, request string) Story {
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Story{Gaps: []string{"no line names the request: it did not reach these hosts, or its line was dropped (mallowgap_log_lines_sampled_total, mallowgap_log_lines_dropped_total)"}}
	}
	s := Story{Lines: slices.Concat(own, beliefs(lines, own), sameContent(lines, own))}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	s.Gaps = append(gaps(own), leftOut(s.Lines)...)
	return s
}

// sameContent returns the lines about servers that ended under other attempts of the same
// request, and what the hosts made of it.
func sameContent(lines, own []Line) []Line {
	var prints []string
	for _, l := range own {
		if p := l.field("fingerprint"); p != "" && !slices.Contains(prints, p) {
			prints = append(prints, p)
		}
	}
	var found []Line
	for _, l := range lines {
		about := strings.HasPrefix(l.Message, endedMessage) || l.Message == standingMessage
		if about && l.Request != own[0].Request && slices.Contains(prints, l.field("fingerprint")) {
			found = append(found, l)
		}
	}
	return found
}

// beliefs returns the lines that change what a host believed of a server or
// peer that the request's lines name, and those of its store.
func beliefs(lines, own []Line) []Line {
	from, to := own[0].Time, own[0].Time
	hosts := map[string]bool{}
	for _, l := range own {
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
		if l.Request != "" || l.Message == standingMessage || !hosts[l.Host] || l.Time.Before(from.Add(-before)) || l.Time.After(to) {
			continue
		}
		if concerns(l, own) {
			found = append(found, l)
		}
	}
	return found
}

// concerns reports whether a line without a request bears on a request's lines.
func concerns(l Line, own []Line) bool {
	named := l.names()
	for _, o := range own {
		if slices.ContainsFunc(named, func(name string) bool { return strings.Contains(o.text, name) }) {
			return true
		}
	}
	return len(named) == 0
}

// names returns the servers that a line is about, or else the peer.
func (l Line) names() []string {
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

// gaps says what the request's lines leave open.
func gaps(own []Line) []string {
	var missing []string
	entry, relayed := false, false
	for _, l := range own {
		switch l.Message {
		case "request":
			entry = true
			n, _ := l.Fields["relayed"].(float64)
			relayed = relayed || n > 0
			if dropped, ok := l.Fields["notes_dropped"].(float64); ok {
				missing = append(missing, fmt.Sprintf("%v further notes of %s did not fit its line", dropped, l.Host))
			}
		}
	}
	if !entry {
		missing = append(missing, "the line of the host that the caller asked is missing")
	}
	if relayed && !slices.ContainsFunc(own, func(l Line) bool { return l.Message == "relayed calls" }) {
		missing = append(missing, "calls went through relays whose lines are missing: their logs are not here, or were sampled")
	}
	return missing
}

// leftOut says where hosts left lines out about then.
func leftOut(lines []Line) []string {
	var gaps []string
	for _, l := range lines {
		if n, ok := l.Fields["left_out"].(float64); ok {
			gaps = append(gaps, fmt.Sprintf("%s left out %v lines before %s", l.Host, n, l.Time.Format("15:04:05.000")))
		}
	}
	return gaps
}

// hidden are the fields that every line has.
var hidden = map[string]bool{"time": true, "host": true, "message": true, "level": true, "request": true}

// Write prints a story, a line for each of its lines.
func (s Story) Write(w io.Writer) error {
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(w, "%s %s: %s%s\n", l.Time.Format("15:04:05.000"), l.Host, l.Message, l.details()); err != nil {
			return err
		}
		notes, _ := l.Fields["notes"].([]any)
		for _, note := range notes {
			if _, err := fmt.Fprintf(w, "    %v\n", note); err != nil {
				return err
			}
		}
	}
	for _, gap := range s.Gaps {
		if _, err := fmt.Fprintf(w, "not told: %s\n", gap); err != nil {
			return err
		}
	}
	return nil
}

func (l Line) details() string {
	var keys []string
	for key := range l.Fields {
		if !hidden[key] && key != "notes" {
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
