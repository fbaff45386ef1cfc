// Package trace follows a request through the logs of many processes.
//
// Follow selects the lines with the request's ID, and those about the state of the engines
// and hosts that were involved: for example that an engine was excluded, that a host was
// unresponsive, or that a configuration became effective. It sorts both by time.
package trace

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// Line is one parsed line of a log. Host is the host that logged it, Text the whole line
// without a log collector's prefix.
type Line struct {
	Time   time.Time
	Host   string
	Fields map[string]string
	Text   string
}

// linePrefix starts every log line of a process. Text before it, which a log collector
// added, is skipped.
const linePrefix = "time="

// maxLine bounds the length of a line, in bytes.
const maxLine = 1 << 20

// Read reads the lines of a log. It skips lines that no process of the system wrote.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for lines.Scan() {
		at := bytes.Index(lines.Bytes(), []byte(linePrefix))
		if at < 0 {
			continue
		}
		if line, ok := parse(string(lines.Bytes()[at:])); ok {
			out = append(out, line)
		}
	}
	return out, errors.Annotate(lines.Err(), "read log")
}

func parse(text string) (Line, bool) {
	line := Line{Fields: make(map[string]string), Text: text}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		// Of two equal keys, the first is a field of the process's logger and the last
		// a field of the line, so the first "host" is the process's own.
		line.Fields[string(decoder.Key())] = string(decoder.Value())
		if string(decoder.Key()) == "host" && line.Host == "" {
			line.Host = string(decoder.Value())
		}
	}
	var err error
	line.Time, err = time.Parse(time.RFC3339Nano, line.Fields["time"])
	return line, decoder.Err() == nil && err == nil
}

// contextWindow is how long before a request Follow includes lines without its ID.
const contextWindow = 5 * time.Second

// Follow returns the lines of a request, and those about the engines and hosts involved
// from contextWindow before it to its end, sorted by time. It returns nil for an unknown
// request. Times of different hosts are compared without correction for clock skew.
func Follow(lines []Line, id string) []Line {
	var result []Line
	involved := make(map[string]bool)
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		result = append(result, l)
		for _, key := range []string{"engine", "gateway", "address"} {
			if name := l.Fields[key]; name != "" {
				involved[name] = true
			}
		}
		involved[l.Host] = true
	}
	if len(result) == 0 {
		return nil
	}
	sortByTime(result)
	from, to := result[0].Time.Add(-contextWindow), result[len(result)-1].Time
	for _, l := range lines {
		if _, ofRequest := l.Fields["request"]; !ofRequest && !l.Time.Before(from) && !l.Time.After(to) && concerns(l, involved) {
			result = append(result, l)
		}
	}
	sortByTime(result)
	return result
}

// concerns reports whether a line is about an involved engine or host.
func concerns(l Line, involved map[string]bool) bool {
	if involved[l.Fields["engine"]] || (involved[l.Fields["address"]] && l.Fields["address"] != "") {
		return true
	}
	// A line of an involved host about the system as a whole, not about one engine.
	return involved[l.Host] && l.Fields["engine"] == "" && l.Fields["level"] != "debug"
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
