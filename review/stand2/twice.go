package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// workAfterMove is how long an engine may go on with a request that continues elsewhere.
const workAfterMove = 400 * time.Millisecond

// hasEnded reports whether the engine's side of a channel was closed or reset by its peer, also
// if bytes before that are unread.
func hasEnded(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO)
		ended = infoErr != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return ended || err != nil
}

// stint is the time in which an engine worked on a request.
type stint struct {
	engine      string
	first       int // the first event that it made
	begin, end  time.Time
	lastEventID string
}

// continuedTwice has one engine read a long body late and pause after its first events, and
// checks that it has stopped when the stream goes on at the other engine.
func continuedTwice(d *deployment, trouble bool) error {
	if err := d.start([3]int{1, 0, 0}); err != nil {
		return err
	}
	const (
		events   = 10
		gap      = 100 * time.Millisecond
		pause    = 3 * time.Second
		window   = 16 << 10
		readSoon = 16 << 10
		clients  = 4
	)
	var mu sync.Mutex
	stints := make(map[string][]stint)
	serve := func(r *run) bool {
		w := stint{engine: r.engine.id, begin: time.Now(), lastEventID: r.req.Header.Get("Last-Event-Id"), first: 1}
		if last, err := strconv.Atoi(w.lastEventID); err == nil {
			w.first = last + 1
		}
		defer func() {
			w.end = time.Now()
			d.rec.printf("engine %s worked on %s from event %d for %.3f s", w.engine, r.id, w.first, w.end.Sub(w.begin).Seconds())
			mu.Lock()
			stints[r.id] = append(stints[r.id], w)
			mu.Unlock()
		}()
		late := trouble && w.lastEventID == ""
		soon := r.req.ContentLength
		if late {
			soon = readSoon
		}
		_, _ = io.CopyN(io.Discard, r.req.Body, soon)
		_, err := fmt.Fprintf(r.conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head("200 OK"))
		for i := w.first; i <= events && err == nil; i++ {
			if i == 4 && w.first == 1 {
				// The engine works on the next event, and drops the request once its channel closes.
				for until := time.Now().Add(pause); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
					if hasEnded(r.conn) {
						d.rec.printf("engine %s sees that the channel of %s has ended", w.engine, r.id)
						return false
					}
				}
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			_, err = fmt.Fprintf(r.conn, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(gap)
		}
		if err != nil || hasEnded(r.conn) {
			return false
		}
		_, _ = io.Copy(io.Discard, r.req.Body)
		_, err = io.WriteString(r.conn, "0\r\n\r\n")
		return err == nil
	}
	for i, id := range []string{"i-first", "i-second"} {
		e, err := d.startEngine("conseillere", id, 30+i, places[0], 64, window, serve)
		if err != nil {
			return err
		}
		defer e.stop()
	}
	if err := d.putConfig(config{
		ConfigVersion: 1, Limits: siteLimits,
		Routes:   []routeConfig{{Name: "r-profile", Host: "liens.example", PathPrefix: "/profile/", Kind: "streaming", TimeoutMs: 8000, TargetLatencyMs: 1000, GapAimMs: 400, Priority: 1, Service: "conseillere", MaxAttempts: 2, Resumable: true}},
		Services: []serviceConfig{{Name: "conseillere", HealthPath: "/health", MaxConnections: 370, Protocol: "h1"}},
	}); err != nil {
		return err
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime + 2*time.Second)
	body := bytes.Repeat([]byte("a long letter about a life\n"), 110_000/27)
	var group sync.WaitGroup
	for i := range clients {
		c, err := openChannel(d.rec, d.gateways[0])
		if err != nil {
			return err
		}
		defer c.close()
		group.Add(1)
		go func() {
			defer group.Done()
			c.do("POST", "/profile/2f", fmt.Sprintf("twice-%d", i), map[string]string{"X-Linenscale-Deadline-Ms": "8000"}, body, 9*time.Second)
		}()
	}
	group.Wait()
	time.Sleep(pause)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for id, all := range stints {
		for _, before := range all {
			for _, after := range all {
				if after.begin.After(before.begin) && before.end.Sub(after.begin) > workAfterMove {
					broken++
					d.rec.printf("%s went on at %s after event %q, and %s still worked on it %.3f s later", id, after.engine, after.lastEventID, before.engine, before.end.Sub(after.begin).Seconds())
				}
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: TWICE: %d of %d requests went on at another engine while the first still worked on them more than %v later", errBroken, broken, clients, workAfterMove)
	}
	return nil
}
