// Package pushback keeps what a backend server asks of one gateway in its answers: to be left
// alone for a while, or for good because it leaves.
//
// A server that turns a request away may say for how long it wants nothing more from the gateway
// that it answers, and one that is about to end says so in all answers. These are its own words
// about itself, and come sooner than anything else that tells of it. What they mean:
//
//   - A rest is between one life of a server and the gateway that was answered. It ends by time
//     alone: the longest of several holds, and neither a shorter word nor a success lifts it,
//     since answers pass each other. Other gateways aren't told; the server may still take
//     requests from them, and tells them itself.
//   - After a rest a server gets one request, then one more now and then, and all others when an
//     answer shows that it hasn't refused one. Else all that was kept away would come at once, at
//     each end of a rest.
//   - Leaving is for good, for this life and towards all gateways.
//
// A Table has no clock, goroutine or network of its own, and knows servers by the hash of their
// life only.
package pushback
