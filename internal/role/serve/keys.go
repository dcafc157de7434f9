package serve

import (
	"crypto/tls"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/tlsfiles"
)

// Keys holds a process's TLS key files by listener; a source is nil if the
// deployment sets no key files for it.
type Keys struct {
	callers        *tlsfiles.Source
	administration *tlsfiles.Source
	peers          *tlsfiles.Source
}

// OpenKeys opens the key files of the process with the given name. If changed
// files can't be reloaded later, that is logged.
func OpenKeys(d *deployment.Deployment, name string, log hclog.Logger) (*Keys, error) {
	open := func(k *deployment.KeyFiles) (*tlsfiles.Source, error) {
		if k == nil {
			return nil, nil
		}
		return tlsfiles.Open(k.For(name), func(err error) { log.Error("changed key files not reloaded", "error", err) })
	}
	keys := &Keys{}
	var err error
	if keys.callers, err = open(d.TLS.Callers); err != nil {
		return nil, err
	}
	if keys.administration, err = open(d.TLS.Administration); err != nil {
		return nil, err
	}
	if keys.peers, err = open(d.TLS.Peers); err != nil {
		return nil, err
	}
	return keys, nil
}

// CallerTLS returns the TLS configuration of the caller address; nil means plain
// TCP.
func (k *Keys) CallerTLS() *tls.Config {
	return serverConfig(k.callers)
}

// AdminTLS returns the TLS configuration of the administration address; nil means
// plain TCP.
func (k *Keys) AdminTLS() *tls.Config {
	return serverConfig(k.administration)
}

func serverConfig(s *tlsfiles.Source) *tls.Config {
	if s == nil {
		return nil
	}
	return s.Server()
}

// PeerServer returns the gRPC credentials of the listener for other processes.
func (k *Keys) PeerServer() credentials.TransportCredentials {
	if k.peers == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.peers.Server())
}

// PeerClient returns the gRPC credentials for connections to other processes.
func (k *Keys) PeerClient() credentials.TransportCredentials {
	if k.peers == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.peers.Client())
}
