package recent_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/internal/recent"
)

// TestItGivesWhatALookAtEverythingGives compares with a plain map.
func TestItGivesWhatALookAtEverythingGives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log recent.Log[int]
		plain := make(map[int]uint64)
		number := uint64(0)
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			thing := rapid.IntRange(0, 20).Draw(t, "thing")
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				log.Forget(thing)
				delete(plain, thing)
				continue
			}
			number++
			log.Note(thing, number)
			plain[thing] = number
		}
		since := uint64(rapid.IntRange(0, int(number)).Draw(t, "since"))
		var want []int
		for thing, at := range plain {
			if at > since {
				want = append(want, thing)
			}
		}
		got := log.Since(since)
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(want, got) {
			t.Fatalf("wanted %v, got %v", want, got)
		}
	})
}

func ExampleLog() {
	var log recent.Log[string]
	log.Note("a", 1)
	log.Note("b", 2)
	log.Note("a", 3)
	fmt.Println(log.Since(1), log.Since(2))
	// Output: [a b] [a]
}
