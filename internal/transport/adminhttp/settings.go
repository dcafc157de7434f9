package adminhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	// defaultHistoryLimit and maxHistoryLimit bound the number of changes in one
	// response.
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1000
	// maxInForceWait bounds how long a request may wait for a version to be in
	// force.
	maxInForceWait = time.Minute
	// inForcePollInterval is the time between two checks during that wait.
	inForcePollInterval = 50 * time.Millisecond
)

func (s *Server) settings(w http.ResponseWriter, r *http.Request, by operator) error {
	answer := SettingsAnswer{Subtrees: make(map[string]Subtree)}
	path := r.URL.Query().Get("path")
	s.Store.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		answer.Version = tree.Version
		for at, subtree := range tree.Subtrees {
			if tree.CanRead(by.name, at) && (path == "" || path == at) {
				answer.Subtrees[at] = Subtree{Version: subtree.Version, Content: subtree.Content}
			}
		}
	})
	return writeJSON(w, http.StatusOK, answer)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request, by operator) error {
	var request ChangeRequest
	if err := readJSON(w, r, &request); err != nil {
		return err
	}
	change, err := toChange(&request)
	if err != nil {
		return err
	}
	change.Operator = by.name
	change.TokenSHA256 = by.tokenSHA256
	change.AtUnixMilli = s.Clock.Wall().UnixMilli()
	result, err := s.commit(r.Context(), change)
	if err != nil {
		return err
	}
	return writeJSON(w, changeStatus(result.Outcome), s.changeAnswer(r.Context(), result))
}

func toChange(request *ChangeRequest) (*settings.Change, error) {
	if request.Number == 0 {
		return nil, badRequest("number: expected a positive number")
	}
	change := &settings.Change{Number: request.Number, Rules: settings.RulesVersion}
	for _, e := range request.Edits {
		content, err := compactJSON(e.Content)
		if err != nil {
			return nil, badRequest(fmt.Sprintf("content of %s: %v", e.Path, err))
		}
		change.Edits = append(change.Edits, settings.Edit{Path: e.Path, BaseVersion: e.BaseVersion, Content: content})
	}
	return change, nil
}

// compactJSON returns content without insignificant white space, and nil for
// null or empty content.
func compactJSON(content json.RawMessage) ([]byte, error) {
	if len(content) == 0 || string(content) == "null" {
		return nil, nil
	}
	var out bytes.Buffer
	if err := json.Compact(&out, content); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func (s *Server) commit(ctx context.Context, change *settings.Change) (settings.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command := &store.Command{Change: change}
	if encoded, err := command.Encode(); err != nil || len(encoded) > raft.MaxCommandBytes {
		detail := fmt.Sprintf("at most %d bytes as the log stores it; make several changes", raft.MaxCommandBytes)
		return settings.ChangeResult{}, &Problem{Title: "change too large", Status: http.StatusRequestEntityTooLarge, Detail: detail}
	}
	result, err := s.Control.Submit(ctx, command)
	switch {
	case errors.Is(err, replog.ErrOutcomeUnknown):
		detail := fmt.Sprintf("send number %d again to learn what became of it: %v", change.Number, err)
		return settings.ChangeResult{}, &Problem{Title: "outcome unknown", Status: http.StatusGatewayTimeout, Detail: detail}
	case err != nil:
		return settings.ChangeResult{}, &Problem{Title: "change not accepted", Status: http.StatusServiceUnavailable, Detail: err.Error()}
	}
	return *result.Change, nil
}

// changeAnswer returns the response to a change, which after a conflict includes
// the current subtree.
func (s *Server) changeAnswer(ctx context.Context, result settings.ChangeResult) ChangeAnswer {
	answer := ChangeAnswer{ChangeResult: result}
	if result.Outcome != settings.Conflict || s.barrier(ctx) != nil {
		return answer
	}
	s.Store.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		current := tree.Subtrees[strings.TrimPrefix(result.Path, "/")]
		answer.Current = &Subtree{Version: current.Version, Content: current.Content}
	})
	return answer
}

func changeStatus(outcome settings.Outcome) int {
	switch outcome {
	case settings.Accepted:
		return http.StatusOK
	case settings.Invalid:
		return http.StatusUnprocessableEntity
	case settings.Denied:
		return http.StatusForbidden
	}
	return http.StatusConflict
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ operator) error {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxHistoryLimit {
			return badRequest(fmt.Sprintf("limit: expected a number from 1 to %d, got %q", maxHistoryLimit, text))
		}
		limit = parsed
	}
	var answer HistoryAnswer
	s.Store.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		answer.Changes = tree.History.Newest(r.URL.Query().Get("path"), limit)
	})
	return writeJSON(w, http.StatusOK, answer)
}

// inForce waits until a version is in force everywhere, at most for the time
// that the request gives, and responds with where the version is in force.
func (s *Server) inForce(w http.ResponseWriter, r *http.Request, _ operator) error {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return badRequest(fmt.Sprintf("version: expected a whole number, got %q", r.URL.Query().Get("version")))
	}
	wait := time.Duration(0)
	if text := r.URL.Query().Get("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxInForceWait {
			return badRequest(fmt.Sprintf("wait: expected a duration up to %s with its unit, got %q", maxInForceWait, text))
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		report := s.Tracker.Report(version)
		if report.InForce || ctx.Err() != nil {
			return writeJSON(w, http.StatusOK, report)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
