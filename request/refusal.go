package request

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Reason is a code for why a request was not run. It appears in logs and in
// HeaderReason.
type Reason string

// Reasons for which a request is not run.
const (
	ReasonBadRequest     Reason = "bad_request"
	ReasonUnknownService Reason = "unknown_service"
	ReasonNotPermitted   Reason = "not_permitted"
	ReasonNoEngine       Reason = "no_engine"
	ReasonOverload       Reason = "overload"
	ReasonDeadline       Reason = "deadline"
	ReasonHandoverLoop   Reason = "handover_loop"
	ReasonNoLease        Reason = "no_lease"
	ReasonTooLarge       Reason = "too_large"
	ReasonKeyConflict    Reason = "key_conflict"
	ReasonInProgress     Reason = "in_progress"
	ReasonNoHome         Reason = "no_home"
	ReasonStopping       Reason = "stopping"
	ReasonCancelled      Reason = "cancelled"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonOverAllowance  Reason = "over_allowance"
	ReasonQuarantined    Reason = "crashes_engines"
	ReasonUnknownStream  Reason = "unknown_stream" // it isn't known which version began the stream to resume
)

// Refusal is a final answer that doesn't come from an engine. It is either a
// *NotRun or an *OutcomeUnknown; no other type can implement it.
type Refusal interface {
	error
	refusal()
}

// NotRun is the refusal of a request of which no engine has received any part.
type NotRun struct {
	Reason     Reason
	Message    string
	RetryAfter time.Duration // how long to wait before a retry; 0 if a retry would not help
	Location   string        // URL of an entry host that may accept the request, or ""
}

// OutcomeUnknown is the refusal of a request that an engine may have run.
type OutcomeUnknown struct {
	Message          string
	DeadlineExceeded bool // the request was abandoned because its deadline passed
}

var (
	_ Refusal = (*NotRun)(nil)
	_ Refusal = (*OutcomeUnknown)(nil)
)

// Error implements error.
func (n *NotRun) Error() string { return fmt.Sprintf("not run: %s: %s", n.Reason, n.Message) }

// Error implements error.
func (o *OutcomeUnknown) Error() string { return "outcome unknown: " + o.Message }

func (*NotRun) refusal()         {}
func (*OutcomeUnknown) refusal() {}

// BadRequestf returns the refusal of a malformed request, with a formatted message
// for the caller.
func BadRequestf(format string, args ...any) *NotRun {
	return &NotRun{Reason: ReasonBadRequest, Message: fmt.Sprintf(format, args...)}
}

// Status returns the HTTP status code of a refusal.
func Status(refusal Refusal) int {
	switch r := refusal.(type) {
	case *NotRun:
		return r.status()
	default:
		return http.StatusBadGateway
	}
}

func (n *NotRun) status() int {
	if n.Location != "" {
		return http.StatusTemporaryRedirect
	}
	switch n.Reason {
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonUnknownService:
		return http.StatusNotFound
	case ReasonNotPermitted:
		return http.StatusForbidden
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonUnknownKey:
		return http.StatusUnauthorized
	case ReasonKeyConflict, ReasonInProgress:
		return http.StatusConflict
	case ReasonOverload, ReasonOverAllowance:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonHandoverLoop:
		return http.StatusLoopDetected
	default:
		return http.StatusServiceUnavailable
	}
}

// AsRefusal returns the Refusal that err wraps. Any other error becomes an
// *OutcomeUnknown, because nothing shows that no engine has run the request.
func AsRefusal(err error) Refusal {
	var refusal Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &OutcomeUnknown{Message: err.Error()}
}
