package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/quarantine"
)

// start is the time at which each test begins.
var start = time.Unix(1000, 0)

func ExampleFingerprintOf() {
	first := quarantine.FingerprintOf("club", "POST", "h", "/review/1", []byte("a board"))
	again := quarantine.FingerprintOf("club", "POST", "h", "/review/1", []byte("a board"))
	other := quarantine.FingerprintOf("club", "POST", "h", "/review/1", []byte("another board"))
	fmt.Println(first == again, first == other)
	// Output: true false
}

// TestFingerprintDependsOnEveryField changes one field at a time, and moves the boundary
// between two fields.
func TestFingerprintDependsOnEveryField(t *testing.T) {
	seen := make(map[quarantine.Fingerprint]string)
	for _, r := range [][5]string{
		{"club", "POST", "h", "/a", "body"},
		{"clu", "bPOST", "h", "/a", "body"},
		{"", "POST", "h", "/a", "body"},
		{"club", "GET", "h", "/a", "body"},
		{"club", "POST", "i", "/a", "body"},
		{"club", "POST", "h", "/a?b=1", "body"},
		{"club", "POST", "h", "/ab", "ody"},
		{"club", "POST", "h", "/a", ""},
	} {
		f := quarantine.FingerprintOf(r[0], r[1], r[2], r[3], []byte(r[4]))
		must.NotEq(t, 0, f)
		must.MapNotContainsKey(t, seen, f, must.Sprint(r, seen[f]))
		seen[f] = fmt.Sprint(r)
	}
}

// TestBreakCountsOnlyIfEngineCrashes breaks the connections of two requests to one
// engine, applies an event, and then reports the engine's crash: requests count only if
// the event didn't show that the engine was alive.
func TestBreakCountsOnlyIfEngineCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		event   func(d *quarantine.CrashDetector[quarantine.Fingerprint])
		crashed []quarantine.Fingerprint
	}{
		"no event": {func(*quarantine.CrashDetector[quarantine.Fingerprint]) {}, []quarantine.Fingerprint{1, 2}},
		"answers a request sent after the breaks": {func(d *quarantine.CrashDetector[quarantine.Fingerprint]) {
			d.RecordAnswer("e", start.Add(2*time.Second))
		}, nil},
		"answers a request sent before the breaks": {func(d *quarantine.CrashDetector[quarantine.Fingerprint]) {
			d.RecordAnswer("e", start.Add(-time.Second))
		}, []quarantine.Fingerprint{1, 2}},
		"another engine answers": {func(d *quarantine.CrashDetector[quarantine.Fingerprint]) {
			d.RecordAnswer("f", start.Add(2*time.Second))
		}, []quarantine.Fingerprint{1, 2}},
		"no answer or crash for a minute": {func(d *quarantine.CrashDetector[quarantine.Fingerprint]) {
			d.RecordBreak("f", 3, start.Add(time.Minute))
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := quarantine.NewCrashDetector[quarantine.Fingerprint]()
			must.True(t, d.RecordBreak("e", 1, start))
			must.False(t, d.RecordBreak("e", 2, start.Add(time.Second)), must.Sprint("already suspected"))
			test.event(d)
			must.Eq(t, test.crashed, d.RemoveSuspect("e"))
			must.SliceEmpty(t, d.RemoveSuspect("e"), must.Sprint("each crash returns its requests once"))
		})
	}
}

// TestSuspectsAreBounded breaks more connections than the detector records.
func TestSuspectsAreBounded(t *testing.T) {
	d := quarantine.NewCrashDetector[quarantine.Fingerprint]()
	for engine := range 1000 {
		for f := range quarantine.Fingerprint(200) {
			d.RecordBreak(fmt.Sprint(engine), f, start)
		}
	}
	must.SliceLen(t, 128, d.Suspects())
	must.SliceLen(t, 128, d.RemoveSuspect("0"))
}
