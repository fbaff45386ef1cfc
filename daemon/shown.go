// This file defines what a gateway shows operators beside its metrics.

package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/internal/steady"
)

// Paths beside a gateway's metrics.
const (
	// AccountsPath shows what it knows of client accounts' allowances.
	AccountsPath = "/accounts"
	// LimitsPath shows which engines name limits.
	LimitsPath = "/limits"
	// EnginesPath shows the engines, and why they get nothing.
	EnginesPath = "/engines"
)

// withShown adds to what a handler of metrics serves.
func withShown(metrics http.Handler, meter *allowance.Meter, dispatcher *dispatch.Dispatcher) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	mux.HandleFunc("GET "+AccountsPath, func(w http.ResponseWriter, _ *http.Request) { show(w, meter.Statuses(steady.Time())) })
	mux.HandleFunc("GET "+LimitsPath, func(w http.ResponseWriter, _ *http.Request) { show(w, dispatcher.LimitStatuses()) })
	mux.HandleFunc("GET "+EnginesPath, func(w http.ResponseWriter, _ *http.Request) { show(w, dispatcher.EngineStatuses()) })
	return mux
}

func show(w http.ResponseWriter, what any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(what) // an operator who has gone asks again
}
