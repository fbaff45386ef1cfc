// This file defines the end of an answer that another gateway relays.

package ingress

import (
	"io"
	"net/http"

	"github.com/linenscale/linenscale/request"
)

// remoteBody is the body of another gateway's answer. A gateway can't take back the status of an
// answer whose engine fails later, so it ends the body properly and states the failure in a
// trailer. remoteBody turns that end into an error for every reader: none of them can take it
// for the end of a complete answer.
type remoteBody struct {
	io.ReadCloser
	resp *http.Response
	x    *exchange
}

// Read implements io.Reader. At the end of an answer that the other gateway couldn't complete,
// the error is a *request.OutcomeUnknown.
func (b *remoteBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.resp.Trailer.Get(request.HeaderOutcome) != "" {
		b.x.mergeSends(b.resp.Trailer)
		err = &request.OutcomeUnknown{Message: "the gateway of the other region broke the answer off"}
	}
	return n, err
}
