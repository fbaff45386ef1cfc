package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Parts of a config, in the words of the wire.
type (
	routeConfig struct {
		Name, Host, PathPrefix, Kind string
		TimeoutMs, TargetLatencyMs   int
		GapAimMs                     int `json:",omitempty"`
		Priority                     int
		Service                      string
		MaxAttempts                  int
		SessionAffinity, Resumable   bool
		HomeRegions                  []string
	}
	serviceConfig struct {
		Name, HealthPath     string
		MaxConnections       int
		Protocol             string
		TLS                  bool `json:"Tls"`
		ColdStartS, ColdPerS float64
	}
	limitsConfig struct {
		MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
	}
	config struct {
		ConfigVersion int
		Routes        []routeConfig
		Services      []serviceConfig
		Limits        limitsConfig
	}
)

// siteLimits are the limits of the examples in the pages.
var siteLimits = limitsConfig{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// callControl sends a call of the operator to one control host after the other until it is
// confirmed.
func (d *deployment) callControl(method, path string, body []byte, limit time.Duration) ([]byte, error) {
	until := time.Now().Add(limit)
	var last error
	for i := 0; time.Now().Before(until); i++ {
		h := d.controls[i%len(d.controls)]
		req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", h.ip, controlPort, path), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := d.httpc.Do(req)
		if err != nil {
			last = err
			time.Sleep(100 * time.Millisecond)
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			d.rec.printf("operator: %s %s confirmed by %s", method, path, h.name)
			return data, nil
		}
		last = fmt.Errorf("%s answered %d: %s", h.name, resp.StatusCode, data)
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s %s not confirmed: %w", method, path, last)
}

// putConfig sends a config until it is confirmed.
func (d *deployment) putConfig(c config) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = d.callControl(http.MethodPost, "/config/put", body, 20*time.Second)
	return err
}
