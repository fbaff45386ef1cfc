package request

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/linenscale/linenscale/streams"
)

// Headers that callers set. HeaderHome is required; the others are optional.
const (
	HeaderHome           = "Linenscale-Home"
	HeaderAccount        = "Linenscale-Account"
	HeaderClass          = "Linenscale-Class"
	HeaderDeadline       = "Linenscale-Deadline" // a duration such as "2s"
	HeaderRequestID      = "Linenscale-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderOutcome is set on every refusal, to OutcomeValueNotRun or OutcomeValueUnknown.
const HeaderOutcome = "Linenscale-Outcome"

// Values of HeaderOutcome.
const (
	OutcomeValueNotRun  = "not-run"
	OutcomeValueUnknown = "unknown"
)

// maxHeaderValue bounds each header value that this package reads, in bytes.
const maxHeaderValue = 256

// Class is the urgency of a request.
type Class string

// Classes, most urgent first.
const (
	ClassInteractive Class = "interactive" // a person waits for the answer
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch" // long jobs
)

// Priority returns the rank of the class: 0 for interactive, 1 for standard and 2
// for batch.
func (c Class) Priority() int {
	switch c {
	case ClassInteractive:
		return 0
	case ClassStandard:
		return 1
	default:
		return 2
	}
}

// Request is an immutable description of one request. The zero value is not
// valid; Identify builds one.
type Request struct {
	ID             string
	Service        string
	Subpath        string // the URL path after the service's name, with its leading slash
	Method         string
	HomeRegion     string // the member's home region
	Account        string
	Class          Class
	IdempotencyKey string // idempotency key, or ""
	Deadline       time.Time
	Model          string          // set once the body has been read
	VisitedHosts   []string        // entry hosts visited so far, in order
	Repeatable     bool            // the request may run more than once
	PriorSends     int             // number of sends to engines before the request was handed over
	Counter        SendCounter     // of the host that hands the request over
	Origin         *streams.Origin // of the stream that the request continues; nil if it begins one
	PrefixChain    []uint64        // hashes of the prompt's prefixes, each one block longer
}

// WithModel returns a copy of the request with the model that its body names.
func (r Request) WithModel(model string) Request {
	r.Model = model
	return r
}

// WithPrefix returns a copy of the request with the hashes of its prompt's prefixes.
func (r Request) WithPrefix(chain []uint64) Request {
	r.PrefixChain = chain
	return r
}

// WithVisitedHost returns a copy of the request with host appended to the visited entry
// hosts.
func (r Request) WithVisitedHost(host string) Request {
	r.VisitedHosts = append(slices.Clone(r.VisitedHosts), host)
	return r
}

// WithRepeatable returns a copy of the request that states whether it may run more
// than once.
func (r Request) WithRepeatable(repeatable bool) Request {
	r.Repeatable = repeatable
	return r
}

// WithDeadline returns a copy of the request with the earlier of its deadline and
// the given one.
func (r Request) WithDeadline(deadline time.Time) Request {
	if r.Deadline.IsZero() || deadline.Before(r.Deadline) {
		r.Deadline = deadline
	}
	return r
}

// IsHandover reports whether another entry host handed the request over.
func (r Request) IsHandover() bool { return len(r.VisitedHosts) > 0 }

// Identify builds a Request from its method, path and headers, without the body. The
// deadline is maxDuration after now, or earlier if HeaderDeadline asks for it. A
// missing request id is generated. The error is a *NotRun.
func Identify(service, rest, method string, header http.Header, now time.Time, maxDuration time.Duration) (Request, error) {
	if forged := findReservedHeader(header); forged != "" {
		return Request{}, BadRequestf("header %s is reserved for entry hosts", forged)
	}
	r := Request{Service: service, Subpath: rest, Method: method, Deadline: now.Add(maxDuration)}
	fields := []struct {
		name   string
		target *string
	}{
		{HeaderHome, &r.HomeRegion},
		{HeaderAccount, &r.Account},
		{HeaderIdempotencyKey, &r.IdempotencyKey},
		{HeaderRequestID, &r.ID},
	}
	for _, f := range fields {
		value, err := singleValue(header, f.name)
		if err != nil {
			return Request{}, err
		}
		*f.target = value
	}
	if r.HomeRegion == "" {
		return Request{}, BadRequestf("header %s must name the member's home region", HeaderHome)
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	return r.parseOptional(header, now)
}

// parseOptional sets the class and the deadline from their optional headers.
func (r Request) parseOptional(header http.Header, now time.Time) (Request, error) {
	class, err := singleValue(header, HeaderClass)
	if err != nil {
		return Request{}, err
	}
	switch Class(class) {
	case "":
		r.Class = ClassStandard
	case ClassInteractive, ClassStandard, ClassBatch:
		r.Class = Class(class)
	default:
		return Request{}, BadRequestf("header %s must be interactive, standard or batch, is %q", HeaderClass, class)
	}
	deadlineText, err := singleValue(header, HeaderDeadline)
	if err != nil || deadlineText == "" {
		return r, err
	}
	timeout, err := time.ParseDuration(deadlineText)
	if err != nil || timeout <= 0 {
		return Request{}, BadRequestf("header %s must be a duration such as 2s, is %q", HeaderDeadline, deadlineText)
	}
	return r.WithDeadline(now.Add(timeout)), nil
}

// singleValue returns the value of a header, or "" if it is missing. It rejects a
// repeated header, a value longer than maxHeaderValue and one with control
// characters, so that no two hosts can interpret the header differently.
func singleValue(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", BadRequestf("header %s is given %d times", name, len(values))
	}
	value := strings.TrimSpace(values[0])
	if len(value) > maxHeaderValue {
		return "", BadRequestf("header %s is longer than %d bytes", name, maxHeaderValue)
	}
	for _, char := range value {
		if char < ' ' || char == 0x7f {
			return "", BadRequestf("header %s has a control character", name)
		}
	}
	return value, nil
}
