// Package request describes a caller's request and the two kinds of refusal.
//
// Identify builds a Request from the method, path and headers alone, before any
// byte of the body is read, because they decide whether this host may read the
// body. Identify is the first filter. Each later filter receives a Request and
// returns either a new one, built with the With methods, or a refusal.
//
// The two kinds of refusal are two types. A *NotRun guarantees that no engine
// has received any part of the request. Any other failure after the first byte
// may have been sent is an *OutcomeUnknown. A request that must not run twice
// is retried only after a *NotRun.
package request
