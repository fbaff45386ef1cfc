package httphead_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/linenscale/linenscale/internal/httphead"
)

// answeringServer answers the requests of each connection with its texts, one after the other, and
// closes the connection after the last.
type answeringServer struct {
	answers []string
	step    int // bytes written at once
	group   conc.WaitGroup
}

// DialContext implements httphead.Dialer.
func (s *answeringServer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.group.Go(func() { s.serve(server) })
	return client, nil
}

func (s *answeringServer) serve(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for _, answer := range s.answers {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		for at := 0; at < len(answer); at += s.step {
			if _, err := io.WriteString(conn, answer[at:min(at+s.step, len(answer))]); err != nil {
				return
			}
		}
	}
}

// checkLastAnswer requests each answer by one connection. All but the last one must have the body
// "whole"; it returns the body of that one, and an error if its head was rejected.
func checkLastAnswer(t *testing.T, step int, answers ...string) (body string, err error) {
	t.Helper()
	server := &answeringServer{answers: answers, step: step}
	defer server.group.Wait()
	base := &http.Transport{DialContext: httphead.DialWith(server)}
	defer base.CloseIdleConnections()
	client := http.Client{Transport: httphead.New(base)}
	for i := range answers {
		resp, err := client.Post("http://server", "text/plain", io.NopCloser(strings.NewReader("request")))
		if err != nil {
			must.Eq(t, len(answers)-1, i, must.Sprint(err))
			return "", err
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		must.NoError(t, err)
		body = string(data)
		must.True(t, i == len(answers)-1 || body == "whole", must.Sprint(body))
	}
	return body, nil
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// TestTransferEncodingOfHTTP10 plays heads in one piece and in small ones, on a new connection and
// after another answer.
func TestTransferEncodingOfHTTP10(t *testing.T) {
	const chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n"
	for text, valid := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                          false,
		"HTTP/1.0 200 OK\r\nX-A: b\r\ntransfer-ENCODING:chunked\r\n" + chunks:                                 false,
		"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n" + chunks:                                              false,
		"HTTP/1.0    200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                       false,
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n" + chunks:                     false,
		"HTTP/1.1 103 A\r\nX-A: b\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:          false,
		"HTTP/1.1" + strings.Repeat(" ", 90) + "100 A\r\n\r\nHTTP/1.0 200\r\nTransfer-Encoding:\r\n" + chunks: false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                          true,
		"HTTP/1.0 103 A\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                    true,
		"HTTP/1.0 200 OK\r\nX-A: b\r\n Transfer-Encoding: c\r\nContent-Length: 5\r\n\r\nwhole":                true,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: c\r\nContent-Length: 5\r\n\r\nwhole":                         true,
	} {
		for _, step := range []int{1, 7, len(text)} {
			for before := range 3 {
				t.Run(fmt.Sprintf("%q/%d/%d", text, step, before), func(t *testing.T) {
					answers := []string{wholeAnswer, wholeAnswer, text}[2-before:]
					body, err := checkLastAnswer(t, step, answers...)
					if valid {
						must.NoError(t, err)
						must.Eq(t, "whole", body)
						return
					}
					var invalid *httphead.InvalidError
					must.True(t, errors.As(err, &invalid), must.Sprint(err))
				})
			}
		}
	}
}

// TestBodyLikeAHead guards against a body that is checked like a head.
func TestBodyLikeAHead(t *testing.T) {
	const body = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 103 A\r\n\r\nHTTP/1.1 200 OK\r\n"} {
		for _, step := range []int{1, 1000} {
			read, err := checkLastAnswer(t, step, wholeAnswer, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
			must.NoError(t, err)
			must.Eq(t, body, read)
		}
	}
}
