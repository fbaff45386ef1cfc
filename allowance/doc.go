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
// A region that isn't heard keeps the share of the allowance that it had when it last was,
// and the others do without: both sides work it out from the same words. Of gateways of
// the own region that are alive and not heard, each keeps an equal share. So the sum holds
// while hosts, data centres and regions are cut off. A gateway that has just started
// believes that all was used.
//
// A Meter has no clock of its own and no goroutine; it knows accounts by name only.
package allowance
