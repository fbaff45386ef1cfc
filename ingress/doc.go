// Package ingress is the HTTP proxy between callers and engines. It serves the routes that
// operators have declared in the catalog (package catalog).
//
// A request passes through these stages, each of which may reject it:
//
//	decode    decode the caller's headers
//	match     find the route by host and path, and pick a service
//	account   authenticate the API key and charge the account's allowance
//	body      read the body into memory, within the catalog's limits
//	region    run locally, or hand over to a gateway of another region
//	engine    choose one, by package dispatch
//	send      by package relay
//	answer    relay the engine's answer, unchanged and complete, or visibly truncated
//
// A Dialect encodes and decodes the platform's headers of callers and engines, so that this
// package doesn't depend on their names.
//
// A request that is not repeatable is sent to one engine, on a connection of its own, and
// is only sent again if that engine certainly did not run it. A repeatable one is retried
// after other failures too. Retries are bounded by the route's attempts, the service's
// retry budget and the deadline. The caller gets a rejection as not run (request.NotRun)
// only if no engine can have begun the request.
package ingress
