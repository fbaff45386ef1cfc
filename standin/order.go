// This file defines the orders that engines accept: to load a model, adapter or version,
// or to change role. An order carries a fencing token; the engine rejects an order whose
// token is lower than the highest it has accepted.

package standin

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Order tells an engine which model, adapter and version to serve, and in which role.
// Fence is its fencing token.
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

// LastOrder returns the last accepted order, and how many orders the engine has accepted.
func (e *Engine) LastOrder() (Order, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.last, e.orders.count
}
