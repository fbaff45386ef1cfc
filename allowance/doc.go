// Package allowance keeps client accounts within what they may ask for, over all
// gateways together: in any window, a rate times its length, and a burst.
//
// A Meter is one gateway's side. For each account it remembers what was admitted within
// the last window in the whole system: by this gateway, which is known exactly, and by
// the others, which is told some tenths of a second late (package rollup adds it up and
// passes it on). While the window holds less than it may, all is admitted. Near the
// limit, what the others admit before it is known would go beyond it; so where an account
// asks for much there, each gateway admits just a share of the requests.
//
// Rates of the others are out of date by up to a second. Two things bound what they miss. Of an
// account that callers ask for far more than it may, each gateway admits no more than its
// share of what is left, as long as reports may take: the shares add up, whoever is isolated
// or paused. And each report has the sum of what was admitted in the last window, so that the
// first one after a partition or a pause makes up for those that were lost.
//
// A region that is partitioned keeps the share of the allowance that it had before, or what it
// had used of the window if that is more, and the others do without. Of gateways of the own
// region that are alive and send no reports, each keeps an equal share. A gateway that has
// just started assumes that all was used.
//
// A Meter has no clock of its own and no goroutine; it knows accounts by name only.
package allowance
