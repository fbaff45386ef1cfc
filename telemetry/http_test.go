package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/linenscale/linenscale/telemetry"
)

// TestHandlerPanicsAreLoggedAsWarnings guards against panics of handlers that are logged
// below the warning level.
func TestHandlerPanicsAreLoggedAsWarnings(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("lost") }))
	server.Config.ErrorLog = telemetry.HTTPErrorLogger(zap.New(core))
	server.Start()
	_, err := http.Get(server.URL)
	server.Close()
	must.Error(t, err)
	must.SliceLen(t, 1, logs.All())
	must.StrContains(t, logs.All()[0].Message, "panic serving")
}
