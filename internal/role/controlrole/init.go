package controlrole

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raftstore"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// ErrInitialized means that the data folder already belongs to a replica.
var ErrInitialized = errors.New("data folder is already initialized")

// ErrGroupExists means that another control process of the deployment is already
// part of a group, which this one should join.
var ErrGroupExists = errors.New("the deployment already has a control group")

// probeTimeout bounds the check for an existing group.
const probeTimeout = time.Second

// Init creates the data folder of a deployment's first control replica; all
// other replicas join that one. It fails with ErrGroupExists if another control
// process answers. Unreachable processes do not count, so Init must be called
// only once in a deployment's lifetime.
func Init(ctx context.Context, d *deployment.Deployment, name string, log hclog.Logger) error {
	self, err := d.FindControl(name)
	if err != nil {
		return err
	}
	if err := refuseSecondGroup(ctx, d, self, log); err != nil {
		return fmt.Errorf("initialize %s: %w", self.DataFolder, err)
	}
	cluster, err := formGroup(d.Name, self.Name, self.PeerAddress, self.DataFolder)
	if err != nil {
		return fmt.Errorf("initialize %s: %w", self.DataFolder, err)
	}
	log.Info("control initialized", "data_folder", self.DataFolder, "cluster", cluster)
	return nil
}

// formGroup creates the data folder of a group's first replica and returns the
// group's cluster ID. It fails with ErrInitialized if the folder already belongs
// to a replica.
func formGroup(deployment, name, peerAddress, dataFolder string) (cluster string, err error) {
	folder, err := disk.Open(dataFolder)
	if err != nil {
		return "", err
	}
	_, found, err := raftstore.LoadIdentity(folder, deployment, name)
	if err == nil && found {
		err = ErrInitialized
	}
	if err != nil {
		return "", err
	}
	identity := raftstore.NewIdentity(deployment, name)
	identity.ClusterID = rand.Text()
	if err := raftstore.Init(folder, identity, peerAddress, raftstore.DefaultOptions); err != nil {
		return "", err
	}
	// The identity is written last: a folder with an identity is complete.
	return identity.ClusterID, raftstore.SaveIdentity(folder, identity)
}

// refuseSecondGroup fails with ErrGroupExists if any other control process
// answers: only members of a group do.
func refuseSecondGroup(ctx context.Context, d *deployment.Deployment, self deployment.Control, log hclog.Logger) error {
	keys, err := serve.OpenKeys(d, self.Name, log)
	if err != nil {
		return err
	}
	others, err := peergrpc.DialControl(otherPeers(d, self), keys.PeerClient())
	if err != nil {
		return err
	}
	defer others.Close()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if answers := others.Renew(ctx, lease.Renewal{}); len(answers) > 0 {
		return fmt.Errorf("%w: replica %016x answered", ErrGroupExists, answers[0].Replica)
	}
	return nil
}
