package pushback_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/pushback"
)

// noon is the time of day of every answer.
var noon = time.Date(2026, time.March, 1, 12, 0, 0, 0, time.UTC)

// TestRead reads what answers may hold.
func TestRead(t *testing.T) {
	date := func(t time.Time) string { return t.Format(http.TimeFormat) }
	cases := []struct {
		name   string
		status int
		values []string
		date   string
		want   pushback.Word
	}{
		{"seconds", 503, []string{"3"}, "", pushback.Rest{For: 3 * time.Second}},
		{"a fraction", 503, []string{"0.25"}, "", pushback.Rest{For: 250 * time.Millisecond}},
		{"blanks", 503, []string{" 2 "}, "", pushback.Rest{For: 2 * time.Second}},
		{"too many requests", 429, []string{"1"}, "", pushback.Rest{For: time.Second}},
		{"nothing said", 503, nil, "", pushback.Nothing{}},
		{"no time at all", 503, []string{"0"}, "", pushback.Nothing{}},
		{"a success", 200, []string{"3"}, "", pushback.Nothing{}},
		{"another server's refusal", 421, []string{"3"}, "", pushback.Nothing{}},
		{"two lines: the longer", 503, []string{"1", "3"}, "", pushback.Rest{For: 3 * time.Second}},
		{"negative", 503, []string{"-3"}, "", pushback.Unclear{Text: "-3"}},
		{"words", 503, []string{"soon"}, "", pushback.Unclear{Text: "soon"}},
		{"empty", 503, []string{""}, "", pushback.Unclear{Text: ""}},
		{"no number", 503, []string{"NaN"}, "", pushback.Unclear{Text: "NaN"}},
		{"one line that can't be read", 503, []string{"3", "x"}, "", pushback.Unclear{Text: "x"}},
		{"endless", 503, []string{"Inf"}, "", pushback.Rest{For: pushback.LongestRest}},
		{"absurd", 503, []string{"1e300"}, "", pushback.Rest{For: pushback.LongestRest}},
		{"a date by the gateway's clock", 503, []string{date(noon.Add(4 * time.Second))}, "", pushback.Rest{For: 4 * time.Second}},
		{"a date by the server's clock", 503, []string{date(noon.Add(time.Minute))}, date(noon.Add(58 * time.Second)), pushback.Rest{For: 2 * time.Second}},
		{"a date that has passed", 503, []string{date(noon.Add(-time.Second))}, "", pushback.Nothing{}},
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
			must.Eq(t, c.want, pushback.Read(c.status, header, noon))
		})
	}
}

// ExampleRead shows a server that has no room for three seconds.
func ExampleRead() {
	header := http.Header{"Retry-After": {"3"}}
	fmt.Println(pushback.Read(http.StatusServiceUnavailable, header, noon))
	// Output: 3s
}
