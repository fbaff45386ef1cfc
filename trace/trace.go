// Package trace follows a request through the logs of many processes.
//
// Every line that touches a request has its ID. Beside those, the lines count
// that tell what a process believed of the engines and hosts that the request
// met: an engine that was avoided, a host that fell silent, a state that was
// taken. Follow puts both in order of time.
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

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Fields map[string]string
	Text   string
}

// begin is how every line of a process begins; what a collector of logs has put
// before it is passed over.
const begin = "time="

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Read reads the lines of a log. What is no line of a process is passed over.
func Read(from io.Reader) ([]Line, error) {
	var out []Line
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for lines.Scan() {
		at := bytes.Index(lines.Bytes(), []byte(begin))
		if at < 0 {
			continue
		}
		if line, ok := parse(string(lines.Bytes()[at:])); ok {
			out = append(out, line)
		}
	}
	return out, errors.Annotate(lines.Err(), "read a log")
}

func parse(text string) (Line, bool) {
	line := Line{Fields: make(map[string]string), Text: text}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		// The last of two equal keys is that of the line; earlier ones are
		// the process's.
		line.Fields[string(decoder.Key())] = string(decoder.Value())
		if string(decoder.Key()) == "host" && line.Host == "" {
			line.Host = string(decoder.Value())
		}
	}
	var err error
	line.Time, err = time.Parse(time.RFC3339Nano, line.Fields["time"])
	return line, decoder.Err() == nil && err == nil
}

// before is how long before a request what processes believed still counts.
const before = 5 * time.Second

// Follow gives the lines of a request, and those that tell what was believed of
// the engines and hosts that it met, in order of time. Times of different hosts
// are compared as they stand: they may differ by what the hosts' clocks do.
func Follow(lines []Line, id string) []Line {
	var own []Line
	met := make(map[string]bool)
	for _, l := range lines {
		if l.Fields["request"] != id {
			continue
		}
		own = append(own, l)
		for _, key := range []string{"engine", "gateway", "address"} {
			if name := l.Fields[key]; name != "" {
				met[name] = true
			}
		}
		met[l.Host] = true
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time
	for _, l := range lines {
		if _, ofRequest := l.Fields["request"]; !ofRequest && !l.Time.Before(from) && !l.Time.After(to) && concerns(l, met) {
			own = append(own, l)
		}
	}
	sortByTime(own)
	return own
}

// concerns tells whether a line tells of an engine or host that was met.
func concerns(l Line, met map[string]bool) bool {
	if met[l.Fields["engine"]] || (met[l.Fields["address"]] && l.Fields["address"] != "") {
		return true
	}
	// What a process that was met believes of the system as a whole.
	return met[l.Host] && l.Fields["engine"] == "" && l.Fields["level"] != "debug"
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
