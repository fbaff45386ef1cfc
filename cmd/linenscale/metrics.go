// This file defines how the tool reads what gateways show beside their metrics.

package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// shownLimit bounds an answer in bytes: some 300 for each of 14,000 client accounts.
const shownLimit = 16 << 20

// readMetrics reads what a gateway shows at a path of its metrics' address.
func readMetrics[T any](ctx context.Context, client *http.Client, address, path string) (T, error) {
	var out T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return out, errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return out, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.Errorf("answered with status %d: is it a gateway's address of metrics?", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, shownLimit)).Decode(&out)
	return out, errors.Annotate(err, path)
}
