// Package operatorcli carries out the operators' commands over the
// administration API. The command line itself is in cmd/lagoonshift.
package operatorcli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// FileError is an error in a settings file. Its text is one line that names
// file, line, path and what was expected.
type FileError struct {
	err error
}

// Error implements error.
func (e *FileError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.err }

// versionComment starts the first line of a printed settings file. The number
// after it is the settings version that the file shows.
const versionComment = "// settings version "

// settingsFile is a settings file that was read and checked.
type settingsFile struct {
	name string
	// version is the one in the file's first line; zero if there is none.
	version  uint64
	content  []byte
	subtrees map[string]json.RawMessage
}

// CheckFile checks a settings file against the zones of a deployment file. An
// error is a *FileError.
func CheckFile(name, deploymentFile string) error {
	_, err := readFile(name, deploymentFile)
	return err
}

// readFile reads and checks a settings file. With a deployment file it also
// checks the zones.
func readFile(name, deploymentFile string) (*settingsFile, error) {
	zones, err := readZones(deploymentFile)
	if err != nil {
		return nil, &FileError{err: err}
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, &FileError{err: fmt.Errorf("read settings file: %w", err)}
	}
	f := &settingsFile{name: name, content: content, version: fileVersion(content)}
	f.subtrees, err = settings.ParseSubtrees(content, zones)
	if err != nil {
		return nil, f.error(err)
	}
	return f, nil
}

func readZones(deploymentFile string) ([]string, error) {
	if deploymentFile == "" {
		return nil, nil
	}
	d, err := deployment.Load(deploymentFile)
	if err != nil {
		return nil, err
	}
	return d.Zones, nil
}

// error puts file and line before an error about the file's content.
func (f *settingsFile) error(err error) error {
	var field *strictjson.FieldError
	if errors.As(err, &field) {
		return &FileError{err: fmt.Errorf("%s:%d: %w", f.name, strictjson.Locate(f.content, field.Path), field)}
	}
	return &FileError{err: fmt.Errorf("%s: %w", f.name, err)}
}

// fileVersion reads the version comment in the first line.
func fileVersion(content []byte) uint64 {
	first, _, _ := bytes.Cut(content, []byte("\n"))
	text, ok := strings.CutPrefix(string(first), versionComment)
	if !ok {
		return 0
	}
	version, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}
	return version
}
