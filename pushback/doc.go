// Package pushback records what backend servers ask of this gateway in their responses:
// to back off for a while, or to stop for good because the server is draining.
//
// A server that rejects a request may say how long the gateway should send it nothing,
// and a server that is about to stop says so in every response. These signals come from
// the server itself and arrive sooner than any other information about it. They mean:
//
//   - A backoff applies to one incarnation of a server and to the gateway that received
//     the response. Only time ends it: the backoff that ends last applies, and neither a
//     shorter one nor a success shortens it, because responses can arrive out of order.
//     It isn't forwarded to other gateways: the server may still accept their requests,
//     and signals them itself.
//   - After a backoff a server gets a single trial request, and another one periodically
//     until a response shows that the server accepted one; only then does it get all
//     requests. Otherwise each end of a backoff would cause a thundering herd.
//   - Draining is permanent for this incarnation, and applies to all gateways.
//
// A table has no clock, goroutine or network connection of its own, and identifies
// servers only by a hash of their incarnation.
package pushback
