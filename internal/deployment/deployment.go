// Package deployment reads the deployment file, which lists all processes of a
// deployment with their addresses and availability zones. These settings are
// static; settings that operators change at run time are in package settings.
package deployment

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
	"github.com/lagoonshift/lagoonshift/internal/tlsfiles"
)

// Deployment is the content of a deployment file.
type Deployment struct {
	// Name identifies the deployment. Replicas of another deployment are
	// refused.
	Name string `json:"deployment"`
	// Region is the region of all zones.
	Region string `json:"region"`
	// Zones lists the availability zones.
	Zones []string `json:"zones"`
	// Control lists the control replicas.
	Control []Control `json:"control"`
	// Entries lists the entry processes.
	Entries []Entry `json:"entries"`
	// Platform is the base URL of the platform API, which lists live and
	// leaving VMs and serves the weight store.
	Platform string `json:"platform,omitempty"`
	// RootTokenSHA256 is the SHA-256 of the root operator's token in
	// lower-case hex; "lagoonshift config token" prints it. Without it nobody
	// can change settings.
	RootTokenSHA256 string `json:"root_token_sha256,omitempty"`
	// Log configures logging for every process.
	Log Log `json:"log"`
	// TLS names the key files of the listeners. A listener without key files
	// uses plain TCP.
	TLS TLS `json:"tls,omitempty"`
}

// TLS holds the key files of each kind of listener. In the paths, "{name}" is
// replaced by the name of the process.
type TLS struct {
	// Callers is for the caller API and Administration for the
	// administration addresses. Clients of both authenticate with tokens.
	Callers        *KeyFiles `json:"callers,omitempty"`
	Administration *KeyFiles `json:"administration,omitempty"`
	// Peers is for connections between processes (mutual TLS). Both sides
	// must present a certificate signed by the authority.
	Peers *KeyFiles `json:"peers,omitempty"`
}

// KeyFiles holds the paths of PEM files.
type KeyFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is required for peers and optional otherwise.
	Authority string `json:"authority,omitempty"`
}

// namePlaceholder is replaced by the name of the process in paths of key files.
const namePlaceholder = "{name}"

// For returns the paths for the process with the given name.
func (k *KeyFiles) For(name string) tlsfiles.Files {
	return tlsfiles.Files{
		Certificate: strings.ReplaceAll(k.Certificate, namePlaceholder, name),
		Key:         strings.ReplaceAll(k.Key, namePlaceholder, name),
		Authority:   strings.ReplaceAll(k.Authority, namePlaceholder, name),
	}
}

// Control describes one control process.
type Control struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// PeerAddress is the address for other processes, as IP:port.
	PeerAddress string `json:"peer_address"`
	// AdminAddress serves the administration API, as IP:port.
	AdminAddress string `json:"admin_address"`
	// DataFolder is the folder of the write-ahead log and the snapshots.
	DataFolder string `json:"data_folder"`
}

// Entry describes one entry process.
type Entry struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress serves the caller API, as IP:port.
	CallerAddress string `json:"caller_address"`
	// AdminAddress serves health, metrics and profiles, as IP:port.
	AdminAddress string `json:"admin_address"`
}

// Log configures logging.
type Log struct {
	// Level is one of trace, debug, info, warn and error.
	Level string `json:"level,omitempty"`
	// JSON selects log lines in JSON instead of text.
	JSON bool `json:"json,omitempty"`
}

// Load reads and checks the deployment file at path. Errors contain the file, the
// line if known, the JSON pointer of the field and what was expected.
func Load(path string) (*Deployment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read deployment file: %w", err)
	}
	var d Deployment
	if err := strictjson.Decode(content, &d); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("%s:%w", path, strictjson.AtLine(content, err))
	}
	return &d, nil
}

// Check validates the content. It returns a *strictjson.FieldError for the first
// invalid field.
func (d *Deployment) Check() error {
	if d.Name == "" {
		return &strictjson.FieldError{Path: "/deployment", Reason: "expected a name"}
	}
	if len(d.Control) == 0 {
		return &strictjson.FieldError{Path: "/control", Reason: "expected at least one control process"}
	}
	if len(d.Entries) == 0 {
		return &strictjson.FieldError{Path: "/entries", Reason: "expected at least one entry process"}
	}
	if d.RootTokenSHA256 != "" && !isSHA256Hex(d.RootTokenSHA256) {
		return &strictjson.FieldError{Path: "/root_token_sha256", Reason: "expected 64 lower-case hex digits"}
	}
	c := newChecker(d.Zones)
	for i, p := range d.Control {
		at := fmt.Sprintf("/control/%d", i)
		c.checkProcess(at, p.Name, p.Zone)
		c.checkAddress(at+"/peer_address", p.PeerAddress)
		c.checkAddress(at+"/admin_address", p.AdminAddress)
		if p.DataFolder == "" {
			c.fail(at+"/data_folder", "expected a folder")
		}
	}
	for i, p := range d.Entries {
		at := fmt.Sprintf("/entries/%d", i)
		c.checkProcess(at, p.Name, p.Zone)
		c.checkAddress(at+"/caller_address", p.CallerAddress)
		c.checkAddress(at+"/admin_address", p.AdminAddress)
	}
	c.checkKeyFiles("/tls/callers", d.TLS.Callers, false)
	c.checkKeyFiles("/tls/administration", d.TLS.Administration, false)
	c.checkKeyFiles("/tls/peers", d.TLS.Peers, true)
	return c.err
}

// isSHA256Hex reports whether text is a SHA-256 in lower-case hex.
func isSHA256Hex(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

// PeerAddresses returns the peer addresses of all control processes.
func (d *Deployment) PeerAddresses() []string {
	var out []string
	for _, p := range d.Control {
		out = append(out, p.PeerAddress)
	}
	return out
}

// FindControl returns the control process with the given name.
func (d *Deployment) FindControl(name string) (Control, error) {
	for _, p := range d.Control {
		if p.Name == name {
			return p, nil
		}
	}
	return Control{}, fmt.Errorf("no control process %q in deployment %q", name, d.Name)
}

// FindEntry returns the entry process with the given name.
func (d *Deployment) FindEntry(name string) (Entry, error) {
	for _, p := range d.Entries {
		if p.Name == name {
			return p, nil
		}
	}
	return Entry{}, fmt.Errorf("no entry process %q in deployment %q", name, d.Name)
}

// checker validates processes and addresses and keeps the first error.
type checker struct {
	zones map[string]bool
	// names and addresses map those seen so far to the JSON pointers where
	// they are used.
	names     map[string]string
	addresses map[string]string
	err       error
}

func newChecker(zones []string) *checker {
	c := &checker{
		zones:     make(map[string]bool, len(zones)),
		names:     make(map[string]string),
		addresses: make(map[string]string),
	}
	for _, z := range zones {
		c.zones[z] = true
	}
	return c
}

func (c *checker) fail(path, reason string) {
	if c.err == nil {
		c.err = &strictjson.FieldError{Path: path, Reason: reason}
	}
}

func (c *checker) checkProcess(at, name, zone string) {
	if name == "" {
		c.fail(at+"/name", "expected a name")
	}
	if other, ok := c.names[name]; ok {
		c.fail(at+"/name", fmt.Sprintf("name %q is already used at %s", name, other))
	}
	c.names[name] = at
	if !c.zones[zone] {
		c.fail(at+"/zone", fmt.Sprintf("zone %q is not listed in /zones", zone))
	}
}

func (c *checker) checkKeyFiles(at string, k *KeyFiles, requireAuthority bool) {
	switch {
	case k == nil:
	case k.Certificate == "":
		c.fail(at+"/certificate", "expected a file")
	case k.Key == "":
		c.fail(at+"/key", "expected a file")
	case requireAuthority && k.Authority == "":
		c.fail(at+"/authority", "expected a file: both sides must show a certificate")
	}
}

func (c *checker) checkAddress(at, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		c.fail(at, fmt.Sprintf("expected IP:port, got %q", address))
	}
	if other, ok := c.addresses[address]; ok {
		c.fail(at, fmt.Sprintf("address %s is already used at %s", address, other))
	}
	c.addresses[address] = at
}
