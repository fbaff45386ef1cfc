package trace_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/trace"
)

func read(t *testing.T) []trace.Line {
	t.Helper()
	file, err := os.Open("testdata/day.log")
	must.NoError(t, err)
	defer file.Close()
	lines, err := trace.Read(file)
	must.NoError(t, err)
	return lines
}

// TestFollowIncludesTheStateOfInvolvedEnginesAndHosts guards against a trace that lacks the
// reasons for a decision, or that contains lines about engines that weren't involved.
func TestFollowIncludesTheStateOfInvolvedEnginesAndHosts(t *testing.T) {
	lines := read(t)
	must.SliceLen(t, 9, lines)
	var got []string
	for _, l := range trace.Follow(lines, "r1") {
		got = append(got, l.Host+": "+l.Fields["msg"])
	}
	must.Eq(t, []string{"core-a: engine", "front-a: engine chosen", "core-a: engine silent", "front-a: attempt failed", "front-a: control host lost", "front-a: refused"}, got)
	must.SliceEmpty(t, trace.Follow(lines, "unknown"))
}

func ExampleFollow() {
	file, err := os.Open("testdata/day.log")
	if err != nil {
		panic(err)
	}
	defer file.Close()
	lines, err := trace.Read(file)
	if err != nil {
		panic(err)
	}
	for _, l := range trace.Follow(lines, "r2") {
		fmt.Println(l.Fields["msg"], l.Fields["engine"])
	}
	// Output:
	// engine i-1
	// engine chosen i-1
}
