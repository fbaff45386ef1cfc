// Package bench compares the routing decisions with baselines.
//
// It runs the code of the daemon (package fleet with its queue, limits and health checks,
// and route.ChooseRegion) in virtual time against a simple model of engines: batches with
// slots, a bounded prefix cache, delayed load reports and lossy cache events. A run is
// determined by its seed, and all policies are measured on the same arrivals. The package
// models neither the network nor the control log.
package bench
