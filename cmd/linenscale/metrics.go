// This file defines how the tool reads what gateways show beside their metrics.

package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// shownLimit bounds an answer in bytes: some 300 for each of 14,000 client accounts.
const shownLimit = 16 << 20

// readGateways reads what gateways show at a path, and gives each as its command shows it. hosts
// are their metrics' addresses, comma separated.
func readGateways[T, G any](ctx context.Context, hosts string, timeout time.Duration, path string, as func(gateway string, shown []T) G) ([]G, error) {
	if hosts == "" {
		return nil, errors.NotValidf("no gateway: name their metrics' addresses by -H, which")
	}
	client := &http.Client{Timeout: timeout}
	var all []G
	for _, address := range strings.Split(hosts, ",") {
		one, err := readMetrics[[]T](ctx, client, address, path)
		if err != nil {
			return nil, errors.Annotatef(err, "gateway %s", address)
		}
		all = append(all, as(address, one))
	}
	return all, nil
}

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
