package pushback_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/pushback"
)

// noon is the gateway's time of day in every test.
var noon = time.Date(2026, time.March, 1, 12, 0, 0, 0, time.UTC)

// TestParse checks every form of Retry-After, on rejections and on other responses.
func TestParse(t *testing.T) {
	date := func(t time.Time) string { return t.Format(http.TimeFormat) }
	cases := []struct {
		name     string
		rejected bool
		values   []string
		date     string
		want     pushback.Signal
	}{
		{"seconds", true, []string{"3"}, "", pushback.Backoff{Duration: 3 * time.Second}},
		{"a fraction", true, []string{"0.25"}, "", pushback.Backoff{Duration: 250 * time.Millisecond}},
		{"blanks", true, []string{" 2 "}, "", pushback.Backoff{Duration: 2 * time.Second}},
		{"no header", true, nil, "", pushback.NoSignal{}},
		{"zero", true, []string{"0"}, "", pushback.NoSignal{}},
		{"a success", false, []string{"3"}, "", pushback.NoSignal{}},
		{"a rejection caused by the caller", false, []string{"3"}, "", pushback.NoSignal{}},
		{"two headers: the longer", true, []string{"1", "3"}, "", pushback.Backoff{Duration: 3 * time.Second}},
		{"negative", true, []string{"-3"}, "", pushback.Malformed{Text: "-3"}},
		{"words", true, []string{"soon"}, "", pushback.Malformed{Text: "soon"}},
		{"empty", true, []string{""}, "", pushback.Malformed{Text: ""}},
		{"no number", true, []string{"NaN"}, "", pushback.Malformed{Text: "NaN"}},
		{"one malformed header", true, []string{"3", "x"}, "", pushback.Malformed{Text: "x"}},
		{"endless", true, []string{"Inf"}, "", pushback.Backoff{Duration: pushback.MaxBackoff}},
		{"absurd", true, []string{"1e300"}, "", pushback.Backoff{Duration: pushback.MaxBackoff}},
		{"a date by the gateway's clock", true, []string{date(noon.Add(4 * time.Second))}, "", pushback.Backoff{Duration: 4 * time.Second}},
		{"a date by the server's clock", true, []string{date(noon.Add(time.Minute))}, date(noon.Add(58 * time.Second)), pushback.Backoff{Duration: 2 * time.Second}},
		{"a date that has passed", true, []string{date(noon.Add(-time.Second))}, "", pushback.NoSignal{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			header := http.Header{}
			for _, v := range c.values {
				header.Add("Retry-After", v)
			}
			if c.date != "" {
				header.Set("Date", c.date)
			}
			must.Eq(t, c.want, pushback.Parse(c.rejected, header, noon))
		})
	}
}

// Example parses the response of a server that is at capacity for three seconds.
func Example() {
	header := http.Header{"Retry-After": {"3"}}
	fmt.Println(pushback.Parse(true, header, noon))
	// Output: 3s
}
