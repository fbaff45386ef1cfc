// This file reads the status pages that gateways serve on their metrics addresses.

package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/internal/httphead"
)

// maxResponseBytes limits the size of a response. It suffices for 14,000 client accounts
// at some 300 bytes each, four times over.
const maxResponseBytes = 16 << 20

// readGateways fetches a JSON array from a path of each gateway and converts each array
// with wrap. addresses holds the metrics addresses of the gateways, comma separated.
func readGateways[T, G any](ctx context.Context, addresses string, timeout time.Duration, path string, wrap func(gateway string, items []T) G) ([]G, error) {
	if addresses == "" {
		return nil, errors.NotValidf("no gateway: name their metrics' addresses by -H, which")
	}
	client := &http.Client{Transport: httphead.New(http.DefaultTransport), Timeout: timeout}
	var all []G
	for _, address := range strings.Split(addresses, ",") {
		items, err := fetchJSON[[]T](ctx, client, address, path)
		if err != nil {
			return nil, errors.Annotatef(err, "gateway %s", address)
		}
		all = append(all, wrap(address, items))
	}
	return all, nil
}

// fetchJSON fetches and decodes a JSON document from a path of a gateway's metrics address.
func fetchJSON[T any](ctx context.Context, client *http.Client, address, path string) (T, error) {
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out)
	return out, errors.Annotate(err, path)
}
