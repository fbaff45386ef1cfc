package harness

// Config is the operator's whole config.
type Config struct {
	ConfigVersion int64
	Routes        []Route
	Services      []Service
	Limits        Limits
}

// Route is one route of a config.
type Route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, TargetLatencyMs   float64
	Priority                     int
	Service                      string
	MaxAttempts                  int
	SessionAffinity, Resumable   bool
	GapAimMs                     float64  `json:",omitempty"`
	HomeRegions                  []string `json:",omitempty"`
}

// Service is one service of a config.
type Service struct {
	Name, HealthPath     string
	MaxConnections       int
	Protocol             string
	Tls                  bool //revive:disable-line:var-naming the name on the wire
	ColdStartS, ColdPerS float64
}

// Limits are a config's limits on what clients send.
type Limits struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }

// UsualLimits are those of the example in the users' PROTOCOL.md.
var UsualLimits = Limits{16384, 4194304, 3000, 15000}
