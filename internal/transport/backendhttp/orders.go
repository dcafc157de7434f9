package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/guard"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/reconcile"
	"github.com/lagoonshift/lagoonshift/internal/transport/tcpopt"
)

const (
	// orderTimeout limits one attempt to send an order and receive its answer.
	orderTimeout = 2 * time.Second
	// stateTimeout limits the time to read an engine's state.
	stateTimeout = time.Second
	// orderUserTimeout is the TCP_USER_TIMEOUT of order connections: the time
	// that written bytes may stay unacknowledged before the kernel drops them.
	orderUserTimeout = time.Second
	// retransmitSlack is the time for a segment that the kernel sends just
	// before the user timeout to pass through the network.
	retransmitSlack = time.Second
)

// MaxOrderDeliveryDelay is how long after the end of the sender's authority, or of an
// attempt, a written order may still arrive at the engine.
const MaxOrderDeliveryDelay = orderUserTimeout + retransmitSlack

// OrderClient sends orders to engines. Each attempt uses its own connection and
// writes to it only while the sender has authority. Orders are neither
// redirected nor resent. It implements reconcile.Engines.
type OrderClient struct {
	guard       guard.Guard
	stateClient *http.Client
}

// NewOrderClient returns a client that writes orders only while g permits.
func NewOrderClient(g guard.Guard) *OrderClient {
	return &OrderClient{guard: g, stateClient: &http.Client{Timeout: stateTimeout, CheckRedirect: returnRedirect}}
}

// State implements reconcile.Engines.
func (c *OrderClient) State(ctx context.Context, baseURL string) (backend.EngineState, error) {
	var state backend.EngineState
	err := getJSON(ctx, c.stateClient, "read state", baseURL+"/v1/state", &state)
	return state, err
}

// Order implements reconcile.Engines.
func (c *OrderClient) Order(ctx context.Context, baseURL string, until clock.Instant, order backend.OrderRequest) (backend.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	attempt := &attempt{guard: c.guard, until: until}
	answer, err := attempt.send(ctx, baseURL+"/v1/orders", order)
	if err != nil && !attempt.written() {
		return backend.OrderResponse{}, fmt.Errorf("%w: %w", reconcile.ErrUnsent, err)
	}
	return answer, err
}

// attempt is one attempt to send an order over its own connection.
type attempt struct {
	guard guard.Guard
	// until is the end of the sender's authority.
	until clock.Instant
	// conn is nil until the connection is established.
	conn *guard.Conn
}

// written reports whether a write was attempted. If not, the order can't arrive.
func (a *attempt) written() bool {
	return a.conn != nil && a.conn.WriteAttempted()
}

func (a *attempt) send(ctx context.Context, url string, order backend.OrderRequest) (backend.OrderResponse, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return backend.OrderResponse{}, fmt.Errorf("encode order to %s: %w", url, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return backend.OrderResponse{}, fmt.Errorf("make order to %s: %w", url, err)
	}
	// net/http can't resend a request whose body it can't read again.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DialContext: a.dial, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return backend.OrderResponse{}, fmt.Errorf("send order to %s: %w", url, err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return backend.OrderResponse{}, statusError("send order", url, response)
	}
	var answer backend.OrderResponse
	if err := decodeResponse(response, &answer); err != nil {
		return backend.OrderResponse{}, fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return answer, nil
}

// dial opens the attempt's only connection.
func (a *attempt) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	if err := setUserTimeout(conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	a.conn = guard.NewConn(conn, a.guard, a.until)
	return a.conn, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on an order connection.
func setUserTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("connection is %T, not TCP", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	return tcpopt.SetUserTimeout(raw, orderUserTimeout)
}
