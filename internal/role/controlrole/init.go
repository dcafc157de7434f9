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

// ErrInitialized means that a data folder belongs to a replica already.
var ErrInitialized = errors.New("data folder is initialized already")

// ErrGroupExists means that another control process of the deployment belongs
// to a group already, which this one should join.
var ErrGroupExists = errors.New("the deployment has a control group already")

// probeTimeout bounds the question whether a group exists.
const probeTimeout = time.Second

// Init makes the data folder of a deployment's first control replica. All
// other replicas join it. It refuses if another control process answers; one
// that can't be reached doesn't hinder it, so it must be called once only in
// the life of a deployment.
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

// formGroup makes the data folder of a group's first replica and returns the
// group's cluster id. It fails with ErrInitialized if the folder belongs to a
// replica already.
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
	// The identity comes last: a folder with an identity is complete.
	return identity.ClusterID, raftstore.SaveIdentity(folder, identity)
}

// refuseSecondGroup asks the other control processes. Only a process that is
// part of a group answers.
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
