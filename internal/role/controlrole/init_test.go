package controlrole

import (
	"errors"
	"net"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/fake/memlog"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// TestInitMakesNoSecondGroup checks that Init fails while another control
// process answers, and succeeds once after that process has stopped.
func TestInitMakesNoSecondGroup(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	state := store.New()
	server := grpc.NewServer()
	peergrpc.NewControlServer(memlog.New(state, clock.NewRuntime(), store.IsSettingsCommand), state).Register(server)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	d := &deployment.Deployment{Name: "d", Control: []deployment.Control{
		{Name: "control-1", PeerAddress: "127.0.0.1:1", DataFolder: filepath.Join(t.TempDir(), "data")},
		{Name: "control-2", PeerAddress: listener.Addr().String()},
	}}
	log := hclog.NewNullLogger()
	if err := Init(t.Context(), d, "control-1", log); !errors.Is(err, ErrGroupExists) {
		t.Errorf("Init while a group answers: error %v, want ErrGroupExists", err)
	}
	server.Stop()
	if err := Init(t.Context(), d, "control-1", log); err != nil {
		t.Errorf("Init without a group: error %v, want nil", err)
	}
	if err := Init(t.Context(), d, "control-1", log); !errors.Is(err, ErrInitialized) {
		t.Errorf("second Init: error %v, want ErrInitialized", err)
	}
}
