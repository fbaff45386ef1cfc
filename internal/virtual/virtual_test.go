package virtual_test

import (
	"fmt"
	"time"

	"github.com/linenscale/linenscale/internal/virtual"
)

func ExampleTime() {
	start := time.Unix(0, 0)
	t := virtual.New(start)
	printAt := func(label string) func() {
		return func() { fmt.Println(t.Now().Sub(start), label) }
	}
	t.After(2*time.Second, printAt("late"))
	t.After(time.Second, printAt("first"))
	t.After(time.Second, printAt("second"))
	remaining := 2
	t.Every(1500*time.Millisecond, func() bool {
		printAt("again")()
		remaining--
		return remaining > 0
	})
	t.Run()
	// Output:
	// 0s again
	// 1s first
	// 1s second
	// 1.5s again
	// 2s late
}
