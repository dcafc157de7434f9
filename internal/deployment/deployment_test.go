package deployment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const valid = `// comment
{
  "deployment": "d", "region": "r", "zones": ["a"],
  "control": [{"name": "c1", "zone": "a", "peer_address": "127.0.0.1:1", "admin_address": "127.0.0.1:2", "data_folder": "x"}],
  "entries": [{"name": "e1", "zone": "a", "caller_address": "127.0.0.1:3", "admin_address": "127.0.0.1:4"}],
}`

func TestLoad(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"valid", "", "", ""},
		{"unknown field", `"region"`, `"regoin"`, ":3: /regoin: unknown field, expected one of deployment, region"},
		{"doubled field", `"region": "r"`, `"region": "r", "region": "s"`, "/region: field is given twice"},
		{"unknown zone", `"e1", "zone": "a"`, `"e1", "zone": "b"`, `:5: /entries/0/zone: zone "b" is not listed`},
		{"overlapping address", "127.0.0.1:4", "127.0.0.1:1", "/entries/0/admin_address: address 127.0.0.1:1 is already used"},
		{"peers without authority", `"region"`, `"tls": {"peers": {"certificate": "c", "key": "k"}}, "region"`, "/tls/peers/authority: expected a file"},
		{"host name", "127.0.0.1:4", "localhost:4", "/entries/0/admin_address: expected IP:port"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "deployment.jsonc")
			if err := os.WriteFile(file, []byte(strings.Replace(valid, test.old, test.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(file)
			if test.want == "" && err != nil {
				t.Fatalf("Load: %v", err)
			}
			if test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Fatalf("Load error = %v, want it to contain %q", err, test.want)
			}
		})
	}
}
