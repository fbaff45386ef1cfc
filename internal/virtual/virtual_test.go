package virtual_test

import (
	"fmt"
	"time"

	"github.com/linenscale/linenscale/internal/virtual"
)

func ExampleTime() {
	start := time.Unix(0, 0)
	t := virtual.New(start)
	say := func(what string) func() {
		return func() { fmt.Println(t.Now().Sub(start), what) }
	}
	t.After(2*time.Second, say("late"))
	t.After(time.Second, say("first"))
	t.After(time.Second, say("second"))
	left := 2
	t.Every(1500*time.Millisecond, func() bool {
		say("again")()
		left--
		return left > 0
	})
	t.Run()
	// Output:
	// 0s again
	// 1s first
	// 1s second
	// 1.5s again
	// 2s late
}
