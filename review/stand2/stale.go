package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// staleHandover freezes one of three gateways of the region where a route may run while the route
// is moved to another service, and sends requests to a gateway of another region that has the new
// config.
func staleHandover(d *deployment, trouble bool) error {
	if err := d.start([3]int{3, 3, 3}); err != nil {
		return err
	}
	type event struct {
		service string
		at      time.Time
	}
	var mu sync.Mutex
	ran := make(map[string]event)
	serve := func(r *run) bool {
		_, _ = io.Copy(io.Discard, r.req.Body)
		mu.Lock()
		ran[r.id] = event{r.engine.service, time.Now()}
		mu.Unlock()
		body := "ok from " + r.engine.service
		_, err := fmt.Fprintf(r.conn, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", r.head("200 OK"), len(body), body)
		return err == nil
	}
	for i, service := range []string{"letters-old", "letters-new"} {
		e, err := d.startEngine(service, "i-"+service, 30+i, places[1], 16, 0, serve)
		if err != nil {
			return err
		}
		defer e.stop()
	}
	withRouteTo := func(version int, service string) config {
		return config{
			ConfigVersion: version, Limits: siteLimits,
			Routes:   []routeConfig{{Name: "r-rdv", Host: "liens.example", PathPrefix: "/rdv/", Kind: "safe", TimeoutMs: 6000, TargetLatencyMs: 500, Priority: 2, Service: service, MaxAttempts: 2, HomeRegions: []string{"sfax"}}},
			Services: []serviceConfig{{Name: "letters-old", HealthPath: "/health", MaxConnections: 110, Protocol: "h1"}, {Name: "letters-new", HealthPath: "/health", MaxConnections: 110, Protocol: "h1"}},
		}
	}
	if err := d.putConfig(withRouteTo(1, "letters-old")); err != nil {
		return err
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	sentAt := make(map[string]time.Time)
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Add(1)
	go func() {
		defer group.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(33 * time.Millisecond):
			}
			group.Add(1)
			go func() {
				defer group.Done()
				ch, err := openChannel(d.rec, d.gateways[0])
				if err != nil {
					return
				}
				defer ch.close()
				id := fmt.Sprintf("stale-%d", i)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				ch.do("GET", "/rdv/2f", id, map[string]string{"X-Linenscale-Deadline-Ms": "6000"}, nil, 7*time.Second)
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	frozen := d.gateways[3] // the first of the region where the route may run
	if trouble {
		d.signal(frozen, syscall.SIGSTOP)
	}
	thaw := time.Now().Add(5 * time.Second)
	if err := d.putConfig(withRouteTo(2, "letters-new")); err != nil {
		return err
	}
	confirmed := time.Now()
	time.Sleep(time.Until(thaw))
	if trouble {
		d.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	var firstNew time.Time
	for _, e := range ran {
		if e.service == "letters-new" && (firstNew.IsZero() || e.at.Before(firstNew)) {
			firstNew = e.at
		}
	}
	stale := 0
	for id, e := range ran {
		if after := sentAt[id].Sub(firstNew); e.service == "letters-old" && after > 250*time.Millisecond {
			stale++
			d.rec.printf("%s was sent %.3f s after an engine saw version 2 (%.3f s after its confirmation), and ran at letters-old", id, after.Seconds(), sentAt[id].Sub(confirmed).Seconds())
		}
	}
	if stale > 0 {
		return fmt.Errorf("%w: CONFIG: %d requests taken by %s ran by version 1 though it had shown version 2 more than 250 ms before they were sent", errBroken, stale, d.gateways[0].name)
	}
	return nil
}
