package telemetry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/telemetry"
)

// TestAccountsHaveBoundedLabels guards against a counter for each of any number of
// accounts, which would exhaust memory: accounts beyond the bound share one counter, and
// every request is counted.
func TestAccountsHaveBoundedLabels(t *testing.T) {
	m, err := telemetry.NewMetrics()
	must.NoError(t, err)
	for i := range 1000 {
		m.CountAccountRequest(fmt.Sprint("account-", i), "answered")
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	lines := 0
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		if strings.HasPrefix(line, "linenscale_account_requests_total{") {
			lines++
		}
	}
	must.Eq(t, 257, lines)
	must.StrContains(t, w.Body.String(), `account="other"`)
	must.StrContains(t, w.Body.String(), "} 744\n")
}
