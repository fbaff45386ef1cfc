// Package catalog holds what an operator declares as one whole: the routes by
// which requests are told apart, the services that answer them, the limits
// on what callers may send, and the client accounts with their keys and allowances.
//
// A Catalog has a version and is immutable. Operators replace the whole of it;
// the one with the highest version holds (package ledger keeps it durable).
// Check tells everything that is wrong with one before it is taken, and Match
// finds the route of a request.
package catalog
