// Package operatorcli implements the operators' commands on top of the
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

// FileError is an error in a file given on the command line. Its text is one
// line. For an error in the content it names the file and, if known, the line,
// path and expected value.
type FileError struct {
	err error
}

// Error implements error.
func (e *FileError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.err }

// versionComment starts the first line of a printed settings file. The settings
// version of the file follows it.
const versionComment = "// settings version "

// settingsFile is a settings file that was read and checked.
type settingsFile struct {
	name string
	// version is the settings version in the file's first line, or zero.
	version  uint64
	content  []byte
	subtrees map[string]json.RawMessage
}

// CheckFile checks a settings file against the zones of a deployment file. Its
// error is a *FileError.
func CheckFile(name, deploymentFile string) error {
	_, err := readFile(name, deploymentFile)
	return err
}

// readFile reads and checks a settings file. If deploymentFile is not empty, it
// also checks the zones.
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

// error prefixes an error about the file's content with the file name and, if
// known, the line.
func (f *settingsFile) error(err error) error {
	var field *strictjson.FieldError
	if errors.As(err, &field) {
		return &FileError{err: fmt.Errorf("%s:%d: %w", f.name, strictjson.Locate(f.content, field.Path), field)}
	}
	return &FileError{err: fmt.Errorf("%s: %w", f.name, err)}
}

// fileVersion returns the version from the comment in the first line, or zero.
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
