// This file defines how fast each engine is, as far as all gateways of the region together
// have seen.

package dispatch

import "time"

// speed returns how fast an engine reads and generates relative to the service's mean; 1 if
// that isn't known.
func (e *engine) speed(time.Time) float64 { return 1 }

// tokenTime returns how long the engine's streams have lately taken for each token, with all
// that it reads beside them; 0 if that isn't known.
func (e *engine) tokenTime(time.Time) time.Duration { return 0 }
