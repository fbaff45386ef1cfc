// Package streams keeps where event streams began, so that they can be continued.
//
// Engines of several software versions may serve one service at the same time, and what two
// versions write doesn't fit together. A stream therefore continues only at engines of the
// version that wrote its first event: its Origin. Engines don't check this.
package streams

import (
	"net/url"
	"strings"
)

// Origin says whose engines wrote the events of a stream.
type Origin struct {
	Service string
	Version string // of the engines' software; "" if they report none
}

// String returns the origin as text that Parse reads. It fits into one HTTP header.
func (o Origin) String() string { return url.QueryEscape(o.Service) + "/" + url.QueryEscape(o.Version) }

// Parse reads what Origin.String returned. It returns false for anything else.
func Parse(text string) (Origin, bool) {
	service, version, ok := strings.Cut(text, "/")
	if !ok {
		return Origin{}, false
	}
	var o Origin
	var serviceErr, versionErr error
	o.Service, serviceErr = url.QueryUnescape(service)
	o.Version, versionErr = url.QueryUnescape(version)
	return o, serviceErr == nil && versionErr == nil && o.Service != ""
}
