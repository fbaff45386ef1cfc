// Package dispatchbench simulates a system with several regions in virtual time. It runs
// the gateways' real package dispatch against modelled engines, and compares it with
// baseline strategies on the same arrivals.
//
// An engine is modelled after those that serve language models. Requests share a batch of
// slots, and each step generates one token for every running stream. Prompts are read in
// chunks within the steps, which then take longer. Prompt blocks stay cached until other
// requests need the memory. Reports between gateways are delayed, as they are between
// processes.
package dispatchbench
