// This file defines the orders that engines accept: to load a model, adapter
// or version, or to change role. An order carries a fence; an engine that
// checks it refuses one older than the newest it has seen.

package standin

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Order is what an engine is told to do.
type Order struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

type orders struct {
	newestFence uint64
	last        Order
	count       int
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.orders.newestFence {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	e.orders.newestFence = order.Fence
	e.orders.last = order
	e.orders.count++
	w.WriteHeader(http.StatusNoContent)
}

// LastOrder gives the last order and how many have been taken.
func (e *Engine) LastOrder() (Order, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.last, e.orders.count
}
