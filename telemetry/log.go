// Package telemetry makes the logger and the metrics of a process.
//
// Logs are one line of key=value pairs for each event (logfmt). Metrics are
// OpenTelemetry instruments, read by a Prometheus scrape.
package telemetry

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger makes a logger that writes logfmt lines to w. level is one of
// debug, info, warn and error.
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

// Cause gives the field of an error, without the stack that juju/errors would
// add to each line. A nil error gives no field.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
