package dispatchbench

import "time"

// ContendedOptions varies the site that Contended returns.
type ContendedOptions struct {
	Seed     uint64
	Load     float64 // 1 is about what the engines can do
	Gateways int
	// LongFirst makes long prompts the more urgent kind, and Unranked makes both alike.
	LongFirst, Unranked bool
	Accounts            []float64 // relative demand of client accounts
}

// Contended returns a site with one region of ten engines and a steady load of two kinds.
func Contended(c ContendedOptions) Options {
	long, short := unevenKinds(c.LongFirst)
	long.Share, short.Share = 0.27, 0.73
	if c.Unranked {
		long.Priority, short.Priority = 0, 0
	}
	const engines, perEngine = 10, 13
	return Options{
		Seed: c.Seed, Duration: 16 * time.Second, Engine: unevenEngine, ColdTime: 3 * time.Second, ColdRate: 2.7, Kinds: []*RequestKind{long, short}, Strategy: dispatchStrategy{}, OrderedReturns: true, Accounts: c.Accounts,
		Regions: []Region{{Name: "a", Engines: engines, Gateways: c.Gateways, Rate: func(time.Duration) float64 { return c.Load * engines * perEngine }}},
	}
}
