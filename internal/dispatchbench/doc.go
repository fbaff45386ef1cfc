// Package dispatchbench plays the load of a system with several regions in
// virtual time: gateways with the real package dispatch before modelled engines,
// beside baselines on the same arrivals.
//
// An engine is modelled as engines of language models work: requests share a
// batch of slots, each step gives every running stream one token, and prompts
// are read in pieces between the steps, which so take longer. Parts of prompts
// stay in memory until others need it. What the gateways know of each other
// travels late, as it does between processes.
package dispatchbench
