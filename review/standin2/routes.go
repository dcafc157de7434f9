package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Each change of the configuration adds routesPerChange routes in place of those that the
	// change before it added.
	routesPerChange = 380
	routeChanges    = 40
	// routeCallers send one request on each route, on kept connections.
	routeCallers = 12
	// routesTime bounds the time in which that is done.
	routesTime = 90 * time.Second
)

// manyRoutesUsed has an operator replace the routes of a configuration again and again, and
// callers send a request on each route. The platform kills a process that uses more memory than
// its machine has. Not more than three requests that were passed on to a server may stay without
// an answer. The disruption is that the routes have new names and prefixes in each version.
func manyRoutesUsed(d *deployment, trouble bool) (broken string, err error) {
	const service = "booking"
	for range 3 {
		if _, err := d.startServer(service, 6, 15*time.Millisecond); err != nil {
			return "", err
		}
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
	killed := make(chan int, 1)
	go d.boundMemory("front-1", killed)
	c := &routeUsers{deployment: d, statuses: make(map[int]int)}
	began := time.Now()
	for change := range routeChanges {
		if time.Since(began) > routesTime || c.lost.Load() > 0 {
			break
		}
		set := 0
		if trouble {
			set = change
		}
		content, err := json.Marshal(changedRoutes(change+2, set, service))
		if err != nil {
			return "", err
		}
		if !d.putOnce(change+2, content) {
			return "", errNotAccepted
		}
		time.Sleep(500 * time.Millisecond)
		c.useAll(set, change)
		d.record.add("after %d changes: answers by status %v, front-1 uses %d MB", change+1, c.statuses, residentMb(d.find("front-1").command.Process.Pid))
	}
	select {
	case mb := <-killed:
		if c.lost.Load() > maxLost {
			return fmt.Sprintf("front-1 used %d of %d MB; %d requests on kept connections had been passed on to servers and got no answer", mb, memoryMb, c.lost.Load()), nil
		}
		return "", fmt.Errorf("front-1 used %d of %d MB, but only %d requests were lost", mb, memoryMb, c.lost.Load())
	default:
	}
	return "", nil
}

// changedRoutes returns a configuration with a set of routes beside the one of config.
func changedRoutes(version, set int, service string) map[string]any {
	c := config(version, "unsafe", service)
	list := c["routes"].([]map[string]any)
	for i := range routesPerChange {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%03d-%03d", set, i), "hostname": hostName, "pathPrefix": routePath(set, i), "kind": "unsafe", "timeoutMs": 8000,
			"targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 1, "sticky": false, "resumable": false,
		})
	}
	c["routes"] = list
	return c
}

func routePath(set, i int) string { return fmt.Sprintf("/p%03d/%03d/", set, i) }

// routeUsers sends requests on routes.
type routeUsers struct {
	deployment *deployment
	lost       atomic.Int64

	mu       sync.Mutex // guards the field below
	statuses map[int]int
}

// useAll sends one request on each route of a set.
func (u *routeUsers) useAll(set, round int) {
	var callers sync.WaitGroup
	for caller := range routeCallers {
		callers.Go(func() {
			raw, err := net.DialTimeout("tcp", u.deployment.address(firstEntry, callerPort), wait)
			if err != nil {
				return
			}
			defer raw.Close()
			reader := bufio.NewReader(raw)
			for i := caller; i < routesPerChange; i += routeCallers {
				if !u.use(raw, reader, fmt.Sprintf("%08x%08x", round+1, i), routePath(set, i)+"x", i != caller) {
					return
				}
			}
		})
	}
	callers.Wait()
}

// use sends one request and reports whether it was answered.
func (u *routeUsers) use(conn net.Conn, reader *bufio.Reader, id, target string, kept bool) (answered bool) {
	_ = conn.SetDeadline(time.Now().Add(uploadDeadline))
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nok", target, hostName, id)
	if err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(reader, nil); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			u.mu.Lock()
			u.statuses[response.StatusCode]++
			u.mu.Unlock()
		}
	}
	if err == nil {
		return true
	}
	passedOn := u.deployment.passedOn(id)
	u.deployment.record.add("request %s: no answer (%v), passed on to a server: %t", id, err, passedOn)
	if kept && passedOn {
		u.lost.Add(1)
	}
	return false
}
