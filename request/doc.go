// Package request holds what is known of a caller's request, and the two kinds
// of refusal.
//
// A Request is identified from its method, path and headers alone, before one
// byte of the body is read, because whether the body may be read here at all
// depends on it. Identify is the first filter; those that follow take a
// Request and give back a new one by its With methods, or a refusal.
//
// The two kinds of refusal are two types. A *NotRun is given only where it can
// be shown that no engine has seen any of the request; everything else that
// goes wrong after the first byte may have left is an *OutcomeUnknown. Code
// that retries takes only the former for a request that may not be repeated.
package request
