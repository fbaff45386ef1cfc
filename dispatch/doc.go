// Package dispatch chooses the engine for each request at one gateway.
//
// A Dispatcher keeps a pool of engines for each service. It builds the pools from the
// registered engines, the ledger's state and this gateway's own requests. Acquire returns
// a Ticket for the engine with the lowest expected cost; Done must be called exactly once
// for each Ticket, and its outcome updates the pool's estimates.
//
// The expected time to the first byte depends on the requests in flight at the engine,
// the prompts that it must read (prefill) first, and the blocks of this prompt that it
// has probably cached. Read and output rates are estimated from earlier answers (package
// pace). A request whose answer would begin too late is rejected.
//
// Gateways agree on the engine that caches a prompt block without exchanging messages:
// each ranks the engines by the same hash.
package dispatch
