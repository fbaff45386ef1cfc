// Package ratelimit keeps all gateways together within the requests a second that an engine
// says it takes.
package ratelimit
