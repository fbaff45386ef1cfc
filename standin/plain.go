package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Plain is a stand-in plain service. It counts the calls that it has run, by the value of
// the call's Order header or, without one, by its path, and answers with the count. It is
// an http.Handler and is safe for concurrent use. NewPlain makes one.
type Plain struct {
	name string

	mu          sync.Mutex
	runs        map[string]int
	bytes       int64
	fault       Fault
	faultsLeft  int
	serviceTime time.Duration
}

// HeaderOrder is the header under whose value Plain counts a call.
const HeaderOrder = "Order"

// NewPlain returns a service that takes serviceTime for each call.
func NewPlain(name string, serviceTime time.Duration) *Plain {
	return &Plain{name: name, runs: make(map[string]int), serviceTime: serviceTime}
}

// Runs returns how often calls with this Order header, or this path, have run.
func (p *Plain) Runs(order string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[order]
}

// BytesRead returns the number of bytes of all request bodies read so far.
func (p *Plain) BytesRead() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// SetFault injects a fault into the next n calls, or into all further ones if n is
// negative.
func (p *Plain) SetFault(fault Fault, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.faultsLeft = fault, n
}

func (p *Plain) recordRun(order string) (int, Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[order]++
	fault := FaultNone
	if p.faultsLeft != 0 {
		fault = p.fault
		p.faultsLeft--
	}
	return p.runs[order], fault
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.serveControl(w, r) {
		return
	}
	hash := xxhash.New()
	n, err := io.Copy(hash, r.Body)
	p.mu.Lock()
	p.bytes += n
	p.mu.Unlock()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	order := r.Header.Get(HeaderOrder)
	if order == "" {
		order = r.URL.Path
	}
	count, fault := p.recordRun(order)
	if !sleep(r.Context(), p.serviceTime) {
		return
	}
	answer := p.name + " ran " + order + " " + strconv.Itoa(count) + " times, " + strconv.FormatInt(n, 10) + " bytes, hash " + strconv.FormatUint(hash.Sum64(), 16) + "\n"
	p.answer(w, r, answer, fault)
}

// serveControl serves the paths with which tests and the demo control the stand-in. It
// returns false for any other path.
func (p *Plain) serveControl(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/engine/load":
		writeJSON(w, map[string]any{"running": 0, "waiting": 0, "at": time.Now()})
	case "/engine/ran":
		writeJSON(w, map[string]int{"ran": p.Runs(r.URL.Query().Get("order"))})
	case "/engine/fault":
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		p.SetFault(Fault(r.URL.Query().Get("fault")), n)
	default:
		return false
	}
	return true
}

func (p *Plain) answer(w http.ResponseWriter, r *http.Request, answer string, fault Fault) {
	switch fault {
	case FaultStall:
		<-r.Context().Done()
		return
	case FaultCrash:
		panic(http.ErrAbortHandler)
	case FaultDisconnect:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultDuplicate:
		p.answerTwice(w, answer)
		return
	case FaultLate:
		if !sleep(r.Context(), lateDelay) {
			return
		}
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// answerTwice writes two whole HTTP responses to one request.
func (p *Plain) answerTwice(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	response := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(answer)) + "\r\n\r\n" + answer
	_, _ = io.WriteString(conn, response+response)
	time.Sleep(50 * time.Millisecond)
}
