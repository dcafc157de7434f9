package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/keys"
)

// defaultValidity is the default validity of created certificates: one year.
const defaultValidity = "8760h"

// keysFlags are the flags of "keys create".
type keysFlags struct {
	file     string
	folder   string
	validity time.Duration
}

func addKeys(app *kingpin.Application, commands map[string]command) {
	clause := app.Command("keys", "Create keys and certificates.").
		Command("create", "Create a certificate authority, and a key and certificate for each process of a deployment.")
	flags := &keysFlags{}
	clause.Flag("deployment", "Deployment file with the static settings.").Required().StringVar(&flags.file)
	clause.Flag("folder", "Folder for the files; existing ones are not replaced.").Required().StringVar(&flags.folder)
	clause.Flag("validity", "Validity of the certificates, with its unit.").Default(defaultValidity).DurationVar(&flags.validity)
	commands["keys create"] = flags.run
}

func (f *keysFlags) run(context.Context) error {
	d, err := deployment.Load(f.file)
	if err != nil {
		return &settingsError{err: err}
	}
	authority, err := keys.Create(f.folder, d.Name, f.validity)
	if err != nil {
		return err
	}
	for _, c := range d.Control {
		if err := authority.Issue(c.Name, hosts(c.PeerAddress, c.AdminAddress), f.validity); err != nil {
			return err
		}
	}
	for _, e := range d.Entries {
		if err := authority.Issue(e.Name, hosts(e.CallerAddress, e.AdminAddress), f.validity); err != nil {
			return err
		}
	}
	fmt.Printf("created a certificate authority and %d keys in %s\n", len(d.Control)+len(d.Entries), f.folder)
	return nil
}

// hosts returns the distinct IP addresses of IP:port addresses that were already
// validated.
func hosts(addresses ...string) []net.IP {
	var out []net.IP
	seen := make(map[string]bool)
	for _, address := range addresses {
		host, _, _ := net.SplitHostPort(address)
		if !seen[host] {
			seen[host] = true
			out = append(out, net.ParseIP(host))
		}
	}
	return out
}
