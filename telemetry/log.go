// Package telemetry provides the logger and the metrics of a process.
//
// The log has one line of key=value pairs (logfmt) for each event. Metrics are
// OpenTelemetry instruments, exposed to a Prometheus scrape. Both are bounded: a
// BoundedWriter drops log lines instead of blocking, and accounts and engines share a
// counter beyond a limit.
package telemetry

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes logfmt lines to w. level is the lowest level that
// is logged: debug, info, warn or error.
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.NotValidf("log level %q", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// ErrorField returns the log field of an error, without the stack trace that juju/errors would
// add to each line. For a nil error it adds no field.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
