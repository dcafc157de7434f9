package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// wait is how long an answer may take.
const wait = 3 * time.Second

// config returns a configuration with one route for all paths of a host.
func config(version int, kind, service string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "all", "hostname": hostName, "pathPrefix": "/", "kind": kind, "timeoutMs": 8000,
			"targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// paths sends requests whose path has empty segments. A server must run each with the path
// that its caller sent. The disruption is that some paths begin with an empty segment.
func paths(d *deployment, trouble bool) (broken string, err error) {
	const service = "booking"
	if _, err := d.startServer(service, 6, 10*time.Millisecond); err != nil {
		return "", err
	}
	if err := d.start(1); err != nil {
		return "", err
	}
	if err := d.putConfig(config(1, "unsafe", service)); err != nil {
		return "", err
	}
	if err := d.awaitReady(0); err != nil {
		return "", err
	}
	targets := []string{"/van/4711/book", "/van//4711/book?day=3", "/van/4711//"}
	if trouble {
		targets = append(targets, "//van/4711/book", "//van/4711/book?day=3")
	}
	sent := make(map[string]string) // targets by request ID
	for i, target := range targets {
		id := fmt.Sprintf("%016x", 0x1c41d07be2a35f00+i)
		sent[id] = target
		status, err := exchange(d, 0, id, target)
		d.record.add("request %s: POST %s, answer %d, error %v", id, target, status, err)
	}
	var changed []string
	ran := 0
	for _, s := range d.servers {
		for _, r := range s.runs() {
			ran++
			want, _, _ := strings.Cut(sent[r.id], "?")
			if r.path != want || r.host != hostName {
				changed = append(changed, fmt.Sprintf("server %s ran %s with path %s of host %s, the caller sent %s of host %s", s.id, r.id, r.path, r.host, want, hostName))
			}
		}
	}
	if ran < 3 {
		return "", fmt.Errorf("only %d requests ran", ran)
	}
	return strings.Join(changed, "; "), nil
}

// exchange sends one request to an entry, byte for byte, and returns the status of the answer.
func exchange(d *deployment, entry int, id, target string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", d.address(firstEntry+entry, callerPort), wait)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nok", target, hostName, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
