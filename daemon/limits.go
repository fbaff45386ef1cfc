// This file defines what a gateway shows operators of engines that name limits.

package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/linenscale/linenscale/dispatch"
)

// LimitsPath is where a gateway shows which engines name limits, beside its metrics.
const LimitsPath = "/limits"

// withLimits adds the limits to what a handler serves.
func withLimits(metrics http.Handler, d *dispatch.Dispatcher) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	mux.HandleFunc("GET "+LimitsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.Limits()) // an operator who has gone asks again
	})
	return mux
}
