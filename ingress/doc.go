// Package ingress serves the callers of routes that an operator has declared
// (package catalog) over HTTP.
//
// A request passes through these filters, each of which may end it:
//
//	receive   headers and body, within the catalog's limits
//	match     the route, by host and path
//	place     this region, or one hand-over to a gateway of another
//	choose    an engine, by package dispatch
//	send      by package relay
//	answer    the engine's own, unchanged and whole, or visibly broken
//
// What callers and engines write in headers is decoded by a Dialect, so that
// nothing here knows a header's name.
//
// A request that may not be repeated is sent to one engine, on a connection of
// its own. One that may be is sent again, within the route's attempts, the
// service's retry budget and the deadline. A refusal as not run is only given
// where no engine can have begun the request.
package ingress
