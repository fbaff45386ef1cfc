package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request as an engine got it. Its body has not been read yet.
type run struct {
	engine *engine
	conn   *net.TCPConn
	in     *bufio.Reader
	req    *http.Request
	id     string
}

// engine is a stand-in for an engine: it reports itself as the pages say, and passes each
// request to serve, which writes the answer. serve returns false to close the channel.
type engine struct {
	d        *deployment
	id       string
	service  string
	ip       string
	at       place
	slots    int
	listener *net.TCPListener
	serve    func(*run) bool
	stopped  chan struct{}
	sequence atomic.Int64
	receive  int // size of the receive buffer of its channels; 0 for the system's

	mu   sync.Mutex
	runs map[string]int // by request id
}

// startEngine starts an engine in a zone and reports it until stop.
func (d *deployment) startEngine(service, id string, last int, at place, slots, receive int, serve func(*run) bool) (*engine, error) {
	e := &engine{d: d, id: id, service: service, ip: d.ip(last), at: at, slots: slots, serve: serve, stopped: make(chan struct{}), receive: receive, runs: make(map[string]int)}
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(e.ip), Port: enginePort})
	if err != nil {
		return nil, err
	}
	e.listener = listener
	if receive > 0 {
		raw, err := listener.SyscallConn()
		if err != nil {
			return nil, err
		}
		if err := setReceiveBuffer(raw, receive); err != nil {
			return nil, err
		}
	}
	go e.accept()
	go e.report()
	return e, nil
}

func (e *engine) accept() {
	for {
		conn, err := e.listener.AcceptTCP()
		if err != nil {
			return
		}
		go e.handle(conn)
	}
}

// handle serves one request at a time on a channel.
func (e *engine) handle(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 4096)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r := &run{engine: e, conn: conn, in: in, req: req, id: req.Header.Get("X-Linenscale-Request-Id")}
		if target := req.Header.Get("X-Linenscale-Target-Instance"); target != "" && target != e.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Linenscale-Request-Id: %s\r\nX-Linenscale-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id, e.id)
			return
		}
		e.mu.Lock()
		e.runs[r.id]++
		e.mu.Unlock()
		e.d.rec.printf("engine %s runs %s", e.id, r.id)
		if !e.serve(r) {
			return
		}
	}
}

// runsOf returns how often the engine ran a request.
func (e *engine) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// head returns the lines of an answer's head that every answer of the engine has.
func (r *run) head(status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Linenscale-Request-Id: %s\r\nX-Linenscale-Response-Stamp: %s.%s\r\n", status, r.id, r.engine.id, r.id)
}

// report sends status reports until the engine stops.
func (e *engine) report() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; {
		body, _ := json.Marshal(map[string]any{
			"Service": e.service, "Address": fmt.Sprintf("%s:%d", e.ip, enginePort), "Zone": e.at.zone, "ConfigVersion": "v1", "Slots": e.slots,
			"State": "ready", "ColdRemainingMs": 0, "Sequence": e.sequence.Add(1),
		})
		for range e.d.controls {
			h := e.d.controls[i%len(e.d.controls)]
			resp, err := client.Post(fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", h.ip, controlPort, e.id), "application/json", bytes.NewReader(body))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					break
				}
			}
			i++
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *engine) stop() {
	close(e.stopped)
	e.listener.Close()
}
