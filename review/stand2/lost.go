package main

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small site.
const (
	contactTime     = 6 * time.Second // ContactMs
	configApplyTime = 4 * time.Second // ConfigApplyMs
)

// maxLost is the number of requests that a machine in touch may lose from kept channels.
const maxLost = 3

// lostSetup describes one case of the rule LOST.
type lostSetup struct {
	service serviceConfig
	route   routeConfig
	body    []byte // of each request
	slots   int
	receive int // receive buffer of the engine's channels; 0 for the system's
	serve   func(*run) bool
	clients int
	// budget is the client's time budget.
	budget time.Duration
}

// playLost sends one request on each of some kept channels right after a SIGHUP, and counts those
// that a sound engine answered whole although the channel ended before the whole answer.
func playLost(d *deployment, s lostSetup) error {
	if err := d.start([3]int{1, 0, 0}); err != nil {
		return err
	}
	serve := func(r *run) bool {
		if r.req.Header.Get("X-Warm") != "" {
			_, _ = io.Copy(io.Discard, r.req.Body)
			_, err := fmt.Fprintf(r.conn, "%sContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", r.head("200 OK"))
			return err == nil
		}
		return s.serve(r)
	}
	e, err := d.startEngine(s.service.Name, "i-"+s.service.Name, 30, places[0], s.slots, s.receive, serve)
	if err != nil {
		return err
	}
	defer e.stop()
	if err := d.putConfig(config{ConfigVersion: 1, Limits: siteLimits, Routes: []routeConfig{s.route}, Services: []serviceConfig{s.service}}); err != nil {
		return err
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime + 2*time.Second) // the gateway is in touch from now on
	target := s.route.PathPrefix + "2f"
	header := map[string]string{"X-Linenscale-Deadline-Ms": fmt.Sprint(s.budget.Milliseconds())}
	channels := make([]*channel, s.clients)
	for i := range channels {
		if channels[i], err = openChannel(d.rec, d.gateways[0]); err != nil {
			return err
		}
		defer channels[i].close()
		warm := channels[i].do("POST", target, fmt.Sprintf("warm-%d", i), map[string]string{"X-Linenscale-Deadline-Ms": "5000", "X-Warm": "1"}, []byte("x"), 6*time.Second)
		if warm.status != 200 || !warm.complete {
			return fmt.Errorf("the first request on channel %d was not served", i)
		}
	}
	d.signal(d.gateways[0], syscall.SIGHUP)
	hangup := time.Now()
	time.Sleep(300 * time.Millisecond)
	answers := make([]answer, s.clients)
	var group sync.WaitGroup
	for i, c := range channels {
		group.Add(1)
		go func() {
			defer group.Done()
			answers[i] = c.do("POST", target, fmt.Sprintf("case-%d", i), header, s.body, s.budget+time.Second)
		}()
	}
	group.Wait()
	lost := 0
	for i, a := range answers {
		id := fmt.Sprintf("case-%d", i)
		if e.runsOf(id) > 0 && a.closed && !a.complete && a.took < min(s.budget, time.Duration(s.route.TimeoutMs)*time.Millisecond)*7/10 {
			lost++
			d.rec.printf("%s was passed on to a sound engine, and its channel ended without a complete answer after %.3f s of %.0f", id, a.took.Seconds(), s.budget.Seconds())
		}
	}
	if lost > maxLost {
		return fmt.Errorf("%w: LOST: %d of %d requests, sent within %v after a SIGHUP on kept channels and passed on to a sound engine, ended with a closed channel and no complete answer (%v)", errBroken, lost, s.clients, configApplyTime, time.Since(hangup).Round(time.Millisecond))
	}
	return nil
}

// lateEnd has an engine send a long answer in chunks, and the last chunk after a pause.
func lateEnd(d *deployment, trouble bool) error {
	pause := 3 * time.Second
	if trouble {
		pause *= 4
	}
	whole := bytes.Repeat([]byte("a line of the member's letters\n"), 400<<10/31)
	return playLost(d, lostSetup{
		service: serviceConfig{Name: "correspondance", HealthPath: "/health", MaxConnections: 110, Protocol: "h1"},
		route:   routeConfig{Name: "r-export", Host: "liens.example", PathPrefix: "/export/", Kind: "unsafe", TimeoutMs: 30000, TargetLatencyMs: 500, Priority: 2, Service: "correspondance", MaxAttempts: 1},
		body:    []byte("export"), slots: 6, clients: 5, budget: 30 * time.Second,
		serve: func(r *run) bool {
			_, _ = io.Copy(io.Discard, r.req.Body)
			_, err := fmt.Fprintf(r.conn, "%sContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.head("200 OK"), len(whole), whole)
			if err == nil {
				time.Sleep(pause)
				_, err = io.WriteString(r.conn, "0\r\n\r\n")
			}
			d.rec.printf("engine %s ends its answer of %d bytes to %s, error %v", r.engine.id, len(whole), r.id, err)
			return err == nil
		},
	})
}

// earlyReply has an engine answer before it has read the whole of a long body, and read the rest
// later.
func earlyReply(d *deployment, trouble bool) error {
	const (
		events   = 30
		gap      = 300 * time.Millisecond
		readSoon = 16 << 10 // bytes that the engine reads before it answers
		window   = 16 << 10 // receive buffer of the engine's channels
	)
	body := bytes.Repeat([]byte("a long letter about a life\n"), 110_000/27) // the longest of the sheet's prompts
	return playLost(d, lostSetup{
		service: serviceConfig{Name: "conseillere", HealthPath: "/health", MaxConnections: 370, Protocol: "h1"},
		route:   routeConfig{Name: "r-icebreaker", Host: "liens.example", PathPrefix: "/ice/", Kind: "streaming", TimeoutMs: 15000, TargetLatencyMs: 1500, GapAimMs: 400, Service: "conseillere", MaxAttempts: 1},
		body:    body, slots: 64, receive: window, clients: 5, budget: 15 * time.Second,
		serve: func(r *run) bool {
			soon := int64(readSoon)
			if !trouble {
				soon = r.req.ContentLength
			}
			_, _ = io.CopyN(io.Discard, r.req.Body, soon)
			_, err := fmt.Fprintf(r.conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head("200 OK"))
			for i := 0; i < events && err == nil; i++ {
				event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
				_, err = fmt.Fprintf(r.conn, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(gap)
			}
			if err != nil {
				d.rec.printf("engine %s can't go on with %s: %v", r.engine.id, r.id, err)
				return false
			}
			rest, err := io.Copy(io.Discard, r.req.Body)
			d.rec.printf("engine %s has read the last %d bytes of %s, error %v", r.engine.id, rest, r.id, err)
			_, err = io.WriteString(r.conn, "0\r\n\r\n")
			d.rec.printf("engine %s ends its answer to %s, error %v", r.engine.id, r.id, err)
			return err == nil
		},
	})
}
