// Package regionplan divides the work of all callers among the regions of a deployment.
//
// It answers a load that moves: regions of different sizes have their peaks one after the
// other, and a region at its peak is asked for more than its engines can do while the others
// are nearly idle. If each request alone went where it seems cheapest at that moment, all
// gateways would react to the same report at once, and the parts of prompts that engines
// cache would be spread at random.
//
// A Plan says which share of each flow of requests runs in which region. A flow is the
// requests of one class whose callers are in one region. The plan is a pure function of the
// capacity of each region, the work of each flow, and whether one was needed before, so that
// gateways that receive the same reports compute the same plan, without a coordinator; one that
// starts may differ from the others while the load is between where a plan begins and ends. A region that isn't in the input,
// because its reports stopped or it has no engines, gets nothing.
//
// Within the shares, requests are placed by the hash of what their prompts share. The same
// prompts therefore go to the same region while the shares stay, and only few move when the
// shares change.
package regionplan
