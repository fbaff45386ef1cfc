// This file serves a gateway's status pages for operators, on the listener of its metrics.

package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/internal/steady"
)

// Paths of a gateway's status pages.
const (
	// AccountsPath serves the gateway's state of the client accounts' allowances.
	AccountsPath = "/accounts"
	// LimitsPath serves the engines that announce rate limits.
	LimitsPath = "/limits"
	// EnginesPath serves the engines, and why any of them is excluded from dispatch.
	EnginesPath = "/engines"
)

// withStatusPages returns a handler that serves the status pages, and metrics on all
// other paths.
func withStatusPages(metrics http.Handler, meter *allowance.Meter, dispatcher *dispatch.Dispatcher) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	mux.HandleFunc("GET "+AccountsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, meter.Statuses(steady.Time())) })
	mux.HandleFunc("GET "+LimitsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, dispatcher.LimitStatuses()) })
	mux.HandleFunc("GET "+EnginesPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, dispatcher.EngineStatuses()) })
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the operator disconnected
}
