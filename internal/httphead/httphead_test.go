package httphead_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/httphead"
)

// ExampleNew calls a server that answers with status 000.
func ExampleNew() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
	}))
	defer server.Close()
	client := http.Client{Transport: httphead.New(http.DefaultTransport)}
	_, err := client.Get(server.URL)
	var invalid *httphead.InvalidError
	fmt.Println(errors.As(err, &invalid), invalid)
	// Output: true invalid head of an answer: status "000 Trouble"
}

// textServer answers each request with its text, as net/http reads it.
type textServer string

// RoundTrip implements http.RoundTripper.
func (s textServer) RoundTrip(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(strings.NewReader(string(s))), req)
}

// isValid reports whether an answer is passed on. Whether net/http or the Transport rejects one
// that isn't makes no difference.
func isValid(text string) bool {
	resp, err := httphead.New(textServer(text)).RoundTrip(httptest.NewRequest(http.MethodGet, "/", nil))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

func TestStatus(t *testing.T) {
	for code := range 1000 {
		valid := isValid(fmt.Sprintf("HTTP/1.1 %03d Any\r\nContent-Length: 0\r\n\r\n", code))
		must.Eq(t, 200 <= code && code < 600, valid, must.Sprint(code))
	}
	for _, status := range []string{"+20", "-00", "-20", "2", "20", "2000", "0200", "2 0", "abc", "", "0x1", "1e2", "2_0"} {
		must.False(t, isValid("HTTP/1.1 "+status+" Any\r\nContent-Length: 0\r\n\r\n"), must.Sprint(status))
	}
	must.True(t, isValid("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"), must.Sprint("no reason"))
}

// TestByteInFieldName plays each byte at the start, inside and at the end of a name.
func TestByteInFieldName(t *testing.T) {
	const tokenChars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for char := range 256 {
		if char == '\n' || char == ':' {
			continue // end the line or the name
		}
		for _, form := range []string{"%sX-A", "X%s-A", "X-A%s"} {
			name := fmt.Sprintf(form, string([]byte{byte(char)}))
			valid := isValid("HTTP/1.1 200 OK\r\n" + name + ": a\r\nContent-Length: 0\r\n\r\n")
			must.Eq(t, strings.IndexByte(tokenChars, byte(char)) >= 0, valid, must.Sprintf("%q", name))
		}
	}
	must.False(t, isValid("HTTP/1.1 200 OK\r\n: a\r\n\r\n"), must.Sprint("empty name"))
}

func TestVersion(t *testing.T) {
	for version, valid := range map[string]bool{"1.0": true, "1.1": true, "1.2": true, "0.9": false, "2.0": false, "3.0": false, "9.9": false} {
		must.Eq(t, valid, isValid("HTTP/"+version+" 200 OK\r\nContent-Length: 0\r\n\r\n"), must.Sprint(version))
	}
}

// TestContinuedLine guards against rejecting a value that continues on the next line, which net/http
// joins as RFC 9112, section 5.2, asks for.
func TestContinuedLine(t *testing.T) {
	must.True(t, isValid("HTTP/1.1 200 OK\r\nX-A: a\r\n b c: d\r\nContent-Length: 0\r\n\r\n"))
}

// bodyServer answers with status 000 and a body.
type bodyServer struct{ io.ReadCloser }

// RoundTrip implements http.RoundTripper.
func (s bodyServer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: s}, nil
}

// closeRecorder records whether a body was closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

// Close implements io.Closer.
func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// TestBodyOfARejectedAnswerIsClosed guards against a connection that stays open, unread.
func TestBodyOfARejectedAnswerIsClosed(t *testing.T) {
	body := &closeRecorder{Reader: strings.NewReader("body")}
	_, err := httphead.New(bodyServer{body}).RoundTrip(httptest.NewRequest(http.MethodGet, "/", nil))
	var invalid *httphead.InvalidError
	must.True(t, errors.As(err, &invalid))
	must.True(t, body.closed)
}
