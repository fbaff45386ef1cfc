package telemetry

import (
	"log"

	"go.uber.org/zap"
)

// HTTPErrors gives net/http a place for what it can tell nobody else: handlers that
// crashed, connections that can't be accepted. Each is a warning, so that it isn't lost
// among decisions.
func HTTPErrors(to *zap.Logger) *log.Logger {
	named := to.Named("http")
	std, err := zap.NewStdLogAt(named, zap.WarnLevel)
	if err != nil { // only for a level that zap doesn't know
		return zap.NewStdLog(named)
	}
	return std
}
