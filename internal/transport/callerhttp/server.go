// Package callerhttp serves the caller API of an entry.
package callerhttp

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/backendhttp"
)

// Headers of the caller API.
const (
	HeaderTeam     = "Lagoonshift-Team"
	HeaderCustomer = "Lagoonshift-Customer"
	HeaderClass    = "Lagoonshift-Class"
	HeaderKey      = "Idempotency-Key"
)

const (
	// maxBody bounds a request's body, in bytes.
	maxBody = 4 << 20
	// ledgerTimeout bounds one ledger command.
	ledgerTimeout = 5 * time.Second
	// bytesPerToken is the mean length of a token of prompt text.
	bytesPerToken = 4
)

// Submitter commits state commands.
type Submitter interface {
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Options holds what a Server needs.
type Options struct {
	// Name is the entry's name and Zone its availability zone.
	Name string
	Zone string
	// Incarnation identifies this run of the entry.
	Incarnation uint64
	// Addresses lists the caller addresses of all entries.
	Addresses []string
	Settings  *atomic.Pointer[settings.Configuration]
	Lease     *lease.Holder
	Tracker   *routing.Tracker
	Picker    routing.Picker
	Backends  *backendhttp.Client
	Control   Submitter
	Log       hclog.Logger
}

// Server handles callers' requests.
type Server struct {
	Options
}

// New returns a server.
func New(o Options) *Server {
	return &Server{Options: o}
}

// Handler returns the caller API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.service)
	return mux
}

// AddressAnswer lists entry addresses in the order a caller should try them.
type AddressAnswer struct {
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the caller may keep the answer.
	TTLSeconds float64 `json:"ttl_s"`
}

func (s *Server) addresses(w http.ResponseWriter, _ *http.Request) {
	answer := AddressAnswer{Addresses: s.Addresses, TTLSeconds: s.Settings.Load().System.AddressTTL.Std().Seconds()}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// CompletionCall is the body of a completion request.
type CompletionCall struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	if !s.Lease.Valid() {
		s.leaseProblem().write(w)
		return
	}
	class, ok := s.class(r)
	if !ok {
		badRequest("unknown team or class").write(w)
		return
	}
	var call CompletionCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&call); err != nil {
		badRequest("decode body: " + err.Error()).write(w)
		return
	}
	request := &routing.Request{
		Model:        class.Model,
		Team:         r.Header.Get(HeaderTeam),
		Class:        r.Header.Get(HeaderClass),
		Customer:     r.Header.Get(HeaderCustomer),
		PromptTokens: len(call.Prompt) / bytesPerToken,
		OutputTokens: call.MaxTokens,
		Priority:     class.Priority,
		Worth:        class.Worth,
		ExpectedWait: class.ExpectedWait.Std(),
		Zone:         s.Zone,
	}
	choice, err := s.Picker.Pick(s.Tracker.Snapshot(), request)
	if err != nil {
		s.refuse(err).write(w)
		return
	}
	s.relay(w, r, choice, request, &call)
}

func (s *Server) relay(w http.ResponseWriter, r *http.Request, choice routing.Choice, request *routing.Request, call *CompletionCall) {
	flight := s.Tracker.Start(choice.Engine.Name, request)
	defer flight.Done()
	attempt := rand.Text()
	stream, err := s.Backends.Complete(r.Context(), choice.Engine.URL, &backend.CompletionRequest{
		Attempt:   attempt,
		Model:     request.Model,
		Prompt:    call.Prompt,
		MaxTokens: call.MaxTokens,
		Priority:  request.Priority,
	})
	if err != nil {
		s.Log.Warn("completion failed", "engine", choice.Engine.Name, "error", err)
		(&Problem{Title: "engine failed", Status: http.StatusBadGateway, Executed: ExecutedUnknown}).write(w)
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	if err := copyStream(w, stream, flight); err != nil {
		s.Log.Warn("stream failed", "engine", choice.Engine.Name, "error", err)
	}
}

func copyStream(w http.ResponseWriter, stream *backendhttp.Stream, flight *routing.Flight) error {
	flush := http.NewResponseController(w)
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if event.Done != nil {
			err = writeEvent(w, backend.EventDone, event.Done.Tokens, event.Done)
		} else {
			flight.FirstToken()
			err = writeEvent(w, backend.EventToken, event.Token.Offset, event.Token)
		}
		if err != nil || event.Done != nil {
			return err
		}
		if err := flush.Flush(); err != nil {
			return fmt.Errorf("flush to caller: %w", err)
		}
	}
}

func writeEvent(w io.Writer, kind string, id int, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode %s event: %w", kind, err)
	}
	if _, err := fmt.Fprintf(w, "id: %d\nevent: %s\ndata: %s\n\n", id, kind, encoded); err != nil {
		return fmt.Errorf("write %s event to caller: %w", kind, err)
	}
	return nil
}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	if !s.Lease.Valid() {
		s.leaseProblem().write(w)
		return
	}
	inForce := s.Settings.Load()
	service, ok := inForce.Services[r.PathValue("service")]
	if !ok {
		badRequest("unknown service").write(w)
		return
	}
	call, ok := service.Calls[r.PathValue("path")]
	if !ok {
		badRequest("unknown call").write(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		badRequest("read body: " + err.Error()).write(w)
		return
	}
	for _, b := range service.Backends {
		if b.Drain || inForce.Leaving(b.URL) {
			continue
		}
		s.callService(w, r, call, b, body)
		return
	}
	s.refuse(routing.ErrNoEngine).write(w)
}

func (s *Server) callService(w http.ResponseWriter, r *http.Request, call settings.Call, b settings.Backend, body []byte) {
	out := backendhttp.ServiceCall{
		URL:            b.URL + "/" + r.PathValue("path"),
		Method:         http.MethodPost,
		ContentType:    r.Header.Get("Content-Type"),
		IdempotencyKey: r.Header.Get(HeaderKey),
		Attempt:        rand.Text(),
		Body:           body,
	}
	if call.Idempotent {
		s.answerService(w, r, out)
		return
	}
	if out.IdempotencyKey == "" {
		badRequest("a non-idempotent call needs the header " + HeaderKey).write(w)
		return
	}
	s.callOnce(w, r, out)
}

func (s *Server) callOnce(w http.ResponseWriter, r *http.Request, out backendhttp.ServiceCall) {
	key := ledger.Key{Service: r.PathValue("service"), Customer: r.Header.Get(HeaderCustomer), IdempotencyKey: out.IdempotencyKey}
	sum := sha256.Sum256(out.Body)
	result, err := s.submit(&store.Command{Reserve: &ledger.Reserve{
		Key:           key,
		RequestDigest: sum[:],
		Entry:         s.Name,
		Incarnation:   s.Incarnation,
		Attempt:       out.Attempt,
		AtUnixMilli:   time.Now().UnixMilli(),
	}})
	if err != nil {
		(&Problem{Title: "ledger not reached", Status: http.StatusServiceUnavailable, Detail: err.Error(), Executed: ExecutedUnknown}).write(w)
		return
	}
	switch result.Ledger.Verdict {
	case ledger.Granted:
		answer := s.answerService(w, r, out)
		if answer == nil {
			return
		}
		outcome := ledger.Outcome{State: ledger.Settled, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
		if _, err := s.submit(&store.Command{Settle: &ledger.Settle{Key: key, Attempt: out.Attempt, Outcome: outcome}}); err != nil {
			s.Log.Error("outcome not stored", "key", out.IdempotencyKey, "error", err)
		}
	case ledger.Mismatch:
		(&Problem{Title: "key used for another request", Status: http.StatusUnprocessableEntity, Executed: ExecutedNo}).write(w)
	default:
		s.repeat(w, result.Ledger.Record.Outcome)
	}
}

func (s *Server) repeat(w http.ResponseWriter, outcome ledger.Outcome) {
	if outcome.State != ledger.Settled {
		(&Problem{Title: "outcome unknown", Status: http.StatusConflict, Executed: ExecutedUnknown}).write(w)
		return
	}
	w.Header().Set("Content-Type", outcome.ContentType)
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(outcome.Body)
}

func (s *Server) submit(command *store.Command) (store.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	return s.Control.Submit(ctx, command)
}

func (s *Server) answerService(w http.ResponseWriter, r *http.Request, out backendhttp.ServiceCall) *backendhttp.ServiceAnswer {
	answer, err := s.Backends.Call(r.Context(), out)
	if err != nil {
		(&Problem{Title: "service failed", Status: http.StatusBadGateway, Detail: err.Error(), Executed: ExecutedUnknown}).write(w)
		return nil
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return &answer
}

func (s *Server) class(r *http.Request) (settings.Class, bool) {
	team, ok := s.Settings.Load().Teams[r.Header.Get(HeaderTeam)]
	if !ok {
		return settings.Class{}, false
	}
	class, ok := team.Classes[r.Header.Get(HeaderClass)]
	return class, ok
}

func (s *Server) leaseProblem() *Problem {
	return &Problem{Title: "entry has no settings lease", Status: http.StatusServiceUnavailable, Executed: ExecutedNo, RetryAfter: time.Second}
}

func (s *Server) refuse(err error) *Problem {
	p := &Problem{Title: "no capacity", Status: http.StatusServiceUnavailable, Detail: err.Error(), Executed: ExecutedNo, RetryAfter: time.Second}
	var overloaded *routing.OverloadedError
	if errors.As(err, &overloaded) {
		p.RetryAfter = overloaded.RetryAfter
	}
	return p
}

func badRequest(detail string) *Problem {
	return &Problem{Title: "bad request", Status: http.StatusBadRequest, Detail: detail, Executed: ExecutedNo}
}
