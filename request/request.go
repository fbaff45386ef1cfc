package request

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Headers that callers set. Home is required; the rest have defaults.
const (
	HeaderHome        = "Linenscale-Home"
	HeaderAccount     = "Linenscale-Account"
	HeaderClass       = "Linenscale-Class"
	HeaderDeadline    = "Linenscale-Deadline" // a duration such as "2s"
	HeaderRequestID   = "Linenscale-Request-Id"
	HeaderIdempotency = "Idempotency-Key"
)

// HeaderOutcome is set on every refusal: OutcomeNotRun or OutcomeUnknown.
const HeaderOutcome = "Linenscale-Outcome"

// Values of HeaderOutcome.
const (
	NotRunValue         = "not-run"
	OutcomeUnknownValue = "unknown"
)

// maxHeaderValue bounds every header value that identification reads.
const maxHeaderValue = 256

// Class is how urgent a request is.
type Class string

// The classes, most urgent first.
const (
	ClassInteractive Class = "interactive" // somebody waits at the bench
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch" // long reviews
)

// Priority gives 0 for the most urgent class, then 1 and 2.
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
// valid; Identify makes one.
type Request struct {
	ID          string
	Service     string
	Rest        string // the path after the service's name, with its leading slash
	Method      string
	Home        string // the member's home region
	Account     string
	Class       Class
	Key         string // idempotency key; empty for none
	Deadline    time.Time
	Model       string   // known only once the body has been read
	Path        []string // entry hosts that have had the request, first one first
	Repeatable  bool     // may be run more than once
	Sends       int      // to engines, before it was handed over
	PrefixChain []uint64 // hashes of the growing prefixes of the prompt
}

// WithModel gives the request with the model that its body names.
func (r Request) WithModel(model string) Request {
	r.Model = model
	return r
}

// WithPrefix gives the request with the hashes of its prompt's prefixes.
func (r Request) WithPrefix(chain []uint64) Request {
	r.PrefixChain = chain
	return r
}

// WithVisit gives the request with one more entry host on its path.
func (r Request) WithVisit(host string) Request {
	r.Path = append(slices.Clone(r.Path), host)
	return r
}

// WithRepeatable gives the request with its repeatability decided.
func (r Request) WithRepeatable(repeatable bool) Request {
	r.Repeatable = repeatable
	return r
}

// WithDeadline gives the request with an earlier deadline; a later one leaves
// it unchanged.
func (r Request) WithDeadline(deadline time.Time) Request {
	if r.Deadline.IsZero() || deadline.Before(r.Deadline) {
		r.Deadline = deadline
	}
	return r
}

// IsHandover tells whether another entry host has had the request before.
func (r Request) IsHandover() bool { return len(r.Path) > 0 }

// Identify reads a request's identity from its method, path and headers. It
// doesn't touch the body. now and longest give the deadline.
func Identify(service, rest, method string, header http.Header, now time.Time, longest time.Duration) (Request, error) {
	if forged := forgedHeader(header); forged != "" {
		return Request{}, BadRequestf("header %s is reserved for entry hosts", forged)
	}
	r := Request{Service: service, Rest: rest, Method: method, Deadline: now.Add(longest)}
	fields := []struct {
		name string
		into *string
	}{
		{HeaderHome, &r.Home},
		{HeaderAccount, &r.Account},
		{HeaderIdempotency, &r.Key},
		{HeaderRequestID, &r.ID},
	}
	for _, f := range fields {
		value, err := single(header, f.name)
		if err != nil {
			return Request{}, err
		}
		*f.into = value
	}
	if r.Home == "" {
		return Request{}, BadRequestf("header %s must name the member's home region", HeaderHome)
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	return r.withOptional(header, now)
}

func (r Request) withOptional(header http.Header, now time.Time) (Request, error) {
	class, err := single(header, HeaderClass)
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
	text, err := single(header, HeaderDeadline)
	if err != nil || text == "" {
		return r, err
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 {
		return Request{}, BadRequestf("header %s must be a duration such as 2s, is %q", HeaderDeadline, text)
	}
	return r.WithDeadline(now.Add(wait)), nil
}

// single gives the only value of a header. Two values, a long one, or one with
// control characters are errors, so that two hosts can't read it differently.
func single(header http.Header, name string) (string, error) {
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
