package httpconn_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/transport/httpconn"
)

// TestResponseBrokenOffAnywhereIsAnError guards against a response that looks whole although the server closed the connection in order at any byte of it.
func TestResponseBrokenOffAnywhereIsAnError(t *testing.T) {
	const header = "X-Id"
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nhello",
		"chunks":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: x\r\n\r\n",
		"line":    "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 5\n\nhello",
		"interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nhello",
	} {
		for cut := range len(response) + 1 {
			s := startServer(t, func(conn net.Conn, _ int32) {
				_, _ = io.WriteString(conn, response[:cut])
				_ = conn.Close()
			})
			p := httpconn.New(httpconn.Options{DialTimeout: time.Second, UserTimeout: time.Second, IDHeader: header})
			request, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(header, "a")
			content, err := read(p.Do(t.Context(), s.Addr().String(), request))
			if whole := cut == len(response); (err == nil) != whole {
				t.Errorf("%s, broken off after %q: read %q, error %v", name, response[:cut], content, err)
			}
			_ = s.Close()
		}
	}
}

// read returns the body of a response.
func read(response *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}
