package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// FuzzResponse feeds arbitrary bytes to a connection: reading the response must
// neither panic nor hang, and a complete one must have the body that net/http
// reads from the same bytes.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK",
		"\x00\xff garbage",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			_, _ = server.Write(raw) // the client may stop reading
		}()
		request, err := http.NewRequest(http.MethodGet, "http://x/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := newConn(client, "x", nil).exchange(request, defaultMaxHeadBytes)
		if err != nil {
			return
		}
		content, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		if want, err := readFinalResponse(raw); err != nil || string(content) != want {
			t.Errorf("%q gave the body %q, want %q with error %v", raw, content, want, err)
		}
	})
}

// readFinalResponse returns the body of the first response in raw that is not an
// informational one.
func readFinalResponse(raw []byte) (string, error) {
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return "", err
		}
		if response.StatusCode >= http.StatusOK {
			content, err := io.ReadAll(response.Body)
			return string(content), err
		}
	}
}
