// Package allowance limits how much each client account may use over all gateways
// together. An account's allowance is a rate limit: in any window, it may use its rate
// times the window's length, plus a burst.
//
// A Meter enforces the allowances at one gateway. For each account it estimates what the
// whole system admitted within the last window: it counts exactly what this gateway
// admitted, and adds what the others report, some tenths of a second late (package rollup
// sums the reports and distributes them). While the window has room, every request is
// admitted. Near the limit, what the other gateways admit before their reports arrive
// would exceed it, so each gateway then admits only the fraction of the requests that
// fits.
//
// The reported rates are up to a second out of date. Two rules bound what they miss.
// First, if callers request far more of an account than its limit, each gateway admits,
// within the time that a report may take, at most its share of what is left: together the
// shares don't exceed it, even if some gateways are isolated or paused. Second, each
// report includes the sum admitted within the last window, so the first report after a
// partition or a pause makes up for those that were lost.
//
// A partitioned region keeps the share of the limit that it had before, or what it had
// used of the window if that is more, and the other regions do without it. Gateways of
// the local region that are alive but send no reports each keep an equal share. A gateway
// that has just started assumes that the whole limit is used.
//
// A Meter has no clock and no goroutine of its own, and identifies accounts by name only.
package allowance
