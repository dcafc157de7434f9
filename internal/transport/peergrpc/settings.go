package peergrpc

import (
	"context"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// maxMessageBytes bounds one message between processes. It is several times the
// size of a full settings tree of the largest supported deployment.
const maxMessageBytes = 32 << 20

// Renew implements peerpb.ControlServer.
func (c *ControlServer) Renew(_ context.Context, request *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	view := c.log.View()
	if c.renewalObserver != nil {
		c.renewalObserver.Renewed(request.GetMember(), request.GetIncarnation(), request.GetSettingsVersion())
	}
	return &peerpb.RenewResponse{
		ReplicaId:          view.ReplicaID,
		LogSettingsVersion: view.LogSettingsIndex,
		Voters:             view.Voters,
		VotersIndex:        view.VotersIndex,
		LeaseMs:            uint64(LeaseDuration.Milliseconds()),
	}, nil
}

// Settings implements peerpb.ControlServer.
func (c *ControlServer) Settings(ctx context.Context, request *peerpb.SettingsRequest) (*peerpb.SettingsResponse, error) {
	if err := c.log.ReadBarrier(ctx); err != nil {
		return nil, toStatus("settings read barrier", err)
	}
	var update settings.Update
	c.store.View(func(tree *settings.Tree, _ *ledger.Ledger) { update = tree.UpdateSince(request.GetHaveVersion()) })
	return fromUpdate(&update), nil
}

func fromUpdate(u *settings.Update) *peerpb.SettingsResponse {
	response := &peerpb.SettingsResponse{Version: u.Version, Whole: u.Full}
	for _, s := range u.Subtrees {
		response.Subtrees = append(response.Subtrees, &peerpb.SubtreeUpdate{Path: s.Path, Content: s.Content})
	}
	return response
}

func toUpdate(response *peerpb.SettingsResponse) settings.Update {
	u := settings.Update{Version: response.GetVersion(), Full: response.GetWhole()}
	for _, s := range response.GetSubtrees() {
		u.Subtrees = append(u.Subtrees, settings.SubtreeUpdate{Path: s.GetPath(), Content: s.GetContent()})
	}
	return u
}

// Settings returns the update from version have to the newest accepted settings.
func (c *ControlClient) Settings(ctx context.Context, have uint64) (settings.Update, error) {
	var update settings.Update
	err := c.tryEach(ctx, func(ctx context.Context, r replica) error {
		response, err := r.control.Settings(ctx, &peerpb.SettingsRequest{HaveVersion: have})
		if err != nil {
			return fmt.Errorf("read settings from %s: %w", r.address, err)
		}
		update = toUpdate(response)
		return nil
	})
	return update, err
}
