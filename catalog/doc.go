// Package catalog defines the declaration that an operator submits as a unit: routes,
// which match requests; services, which answer them; limits on what callers may send;
// and client accounts with their keys and allowances.
//
// A Catalog is immutable and has a version. Operators always replace the whole catalog,
// and the one with the highest version is effective (package ledger stores it durably).
// Catalog.Check reports every fault of a catalog before it is accepted, and Table.Match
// finds the route of a request.
package catalog
