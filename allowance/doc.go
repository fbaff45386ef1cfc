// Package allowance keeps client accounts within what they may ask for, over all
// gateways together.
//
// A Meter is one gateway's side. For each account it keeps a token bucket of the whole
// system: it fills at the account's rate, and is emptied by what this gateway admits,
// which is known exactly, and by what the others are told to admit, which is known some
// tenths of a second late (package rollup adds it up and passes it on). What is admitted
// before the others know goes beyond the bucket; so where an account asks for more than
// its rate and the bucket is nearly empty, each gateway admits just the share of the
// requests that the rate allows, instead of all until the bucket is known to be empty.
//
// A region that isn't heard keeps the share of the rate and of the bucket that it had
// when it last was, and the others do without: both sides work it out from the same
// words. Of gateways of the own region that are alive and not heard, each keeps an equal
// share. So the sum holds while hosts, data centres and regions are cut off.
//
// A Meter has no clock of its own and no goroutine; it knows accounts by name only.
package allowance
