package streams_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/streams"
)

func ExampleOrigin_String() {
	fmt.Println(streams.Origin{Service: "review", Version: "v1.1 (beta)"})
	// Output: review/v1.1+%28beta%29
}

// TestOriginsSurviveTheirText guards against a version whose text is read as another one.
func TestOriginsSurviveTheirText(t *testing.T) {
	for _, o := range []streams.Origin{{Service: "a", Version: "v1"}, {Service: "a"}, {Service: "a/b", Version: "1/2 %\n,"}, {Service: "é", Version: "7"}} {
		got, ok := streams.Parse(o.String())
		must.True(t, ok)
		must.Eq(t, o, got)
	}
	for _, bad := range []string{"", "a", "/v1", "a/%zz"} {
		_, ok := streams.Parse(bad)
		must.False(t, ok, must.Sprint(bad))
	}
}
