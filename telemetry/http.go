package telemetry

import (
	"log"

	"go.uber.org/zap"
)

// HTTPErrorLogger returns a logger for net/http's own errors, such as handlers that panic and
// connections that can't be accepted. It logs each as a warning, so that it stands out
// among the lines of routing decisions.
func HTTPErrorLogger(logger *zap.Logger) *log.Logger {
	named := logger.Named("http")
	std, err := zap.NewStdLogAt(named, zap.WarnLevel)
	if err != nil { // happens only for an unknown level
		return zap.NewStdLog(named)
	}
	return std
}
