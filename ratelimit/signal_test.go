package ratelimit_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/ratelimit"
)

func ExampleParse() {
	fmt.Println(ratelimit.Parse([]string{"1.5"}))
	fmt.Println(ratelimit.Parse(nil))
	fmt.Println(ratelimit.Parse([]string{"few"}))
	// Output:
	// 1.5/s
	// none
	// unclear: "few"
}

func TestParse(t *testing.T) {
	for _, test := range []struct {
		values []string
		want   ratelimit.Signal
	}{
		{nil, ratelimit.Unlimited{}},
		{[]string{"1"}, ratelimit.Limited{PerSecond: 1}},
		{[]string{" 0.25 "}, ratelimit.Limited{PerSecond: 0.25}},
		{[]string{"0"}, ratelimit.Limited{}},
		{[]string{"1e3"}, ratelimit.Limited{PerSecond: 1000}},
		{[]string{"20", "3"}, ratelimit.Limited{PerSecond: 3}},
		{[]string{"20, 3"}, ratelimit.Limited{PerSecond: 3}},
		{[]string{""}, ratelimit.Malformed{}},
		{[]string{"-1"}, ratelimit.Malformed{Text: "-1"}},
		{[]string{"NaN"}, ratelimit.Malformed{Text: "NaN"}},
		{[]string{"Inf"}, ratelimit.Malformed{Text: "Inf"}},
		{[]string{"5/s"}, ratelimit.Malformed{Text: "5/s"}},
		{[]string{"3", "many"}, ratelimit.Malformed{Text: "many"}},
	} {
		must.Eq(t, test.want, ratelimit.Parse(test.values), must.Sprint(test.values))
	}
}
