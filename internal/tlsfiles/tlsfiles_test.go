package tlsfiles

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/keys"
)

const validity = time.Hour

// issueKeyPair creates an authority and a key pair for 127.0.0.1 in a new folder.
func issueKeyPair(t *testing.T) Files {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "keys")
	a, err := keys.Create(folder, "test", validity)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Issue("entry-1", []net.IP{net.IPv4(127, 0, 0, 1)}, validity); err != nil {
		t.Fatal(err)
	}
	return Files{
		Certificate: filepath.Join(folder, "entry-1.pem"),
		Key:         filepath.Join(folder, "entry-1.key"),
		Authority:   filepath.Join(folder, keys.AuthorityName+".pem"),
	}
}

func open(t *testing.T, files Files) *Source {
	t.Helper()
	s, err := Open(files, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startEchoServer starts a TLS server that sends back what it receives, and returns
// its address. The listener is closed at the end of the test.
func startEchoServer(t *testing.T, config *tls.Config) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// fakeTime is a wall clock that advances only by calls of advance.
type fakeTime struct {
	nanos atomic.Int64
}

func newFakeTime() *fakeTime {
	m := &fakeTime{}
	m.nanos.Store(time.Now().UnixNano())
	return m
}

func (m *fakeTime) read() time.Time { return time.Unix(0, m.nanos.Load()) }

func (m *fakeTime) advance(d time.Duration) { m.nanos.Add(int64(d)) }

func ping(conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func dial(address string, config *tls.Config) (*tls.Conn, error) {
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		return nil, err
	}
	return conn, ping(conn)
}

func TestMutualTLS(t *testing.T) {
	s := open(t, issueKeyPair(t))
	address := startEchoServer(t, s.Server())
	if _, err := dial(address, s.Client()); err != nil {
		t.Errorf("dial with a certificate of the same authority: %v", err)
	}
	otherAuthority := open(t, issueKeyPair(t))
	if _, err := dial(address, otherAuthority.Client()); err == nil {
		t.Error("server accepted a client certificate of another authority")
	}
	if _, err := dial(address, &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("server accepted a client without a certificate")
	}
}

func TestReloadKeepsConnections(t *testing.T) {
	files := issueKeyPair(t)
	server := open(t, files)
	now := newFakeTime()
	server.now = now.read
	address := startEchoServer(t, server.Server())
	old, err := dial(address, open(t, files).Client())
	if err != nil {
		t.Fatal(err)
	}
	next := issueKeyPair(t)
	replace(t, files, next, now.read().Add(time.Minute))
	now.advance(2 * checkInterval)
	if _, err := dial(address, open(t, next).Client()); err != nil {
		t.Errorf("new connection with the new certificates: %v", err)
	}
	if err := ping(old); err != nil {
		t.Errorf("existing connection after the reload: %v", err)
	}
}

func TestInvalidFilesKeepOldCertificate(t *testing.T) {
	files := issueKeyPair(t)
	client := open(t, files).Client()
	failures := 0
	server, err := Open(files, func(error) { failures++ })
	if err != nil {
		t.Fatal(err)
	}
	now := newFakeTime()
	server.now = now.read
	address := startEchoServer(t, server.Server())
	if err := os.WriteFile(files.Certificate, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(files.Certificate, now.read(), now.read().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	now.advance(2 * checkInterval)
	if _, err := dial(address, client); err != nil {
		t.Errorf("new connection with the previous certificates: %v", err)
	}
	if failures == 0 {
		t.Error("onReloadError was not called for the invalid certificate file")
	}
}

// replace overwrites a set of files with the content of another and sets their
// modification time.
func replace(t *testing.T, to, from Files, modified time.Time) {
	t.Helper()
	for target, source := range map[string]string{to.Certificate: from.Certificate, to.Key: from.Key, to.Authority: from.Authority} {
		content, err := os.ReadFile(source)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(target, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(target, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
}
