package configcheck

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Format is the format of a configuration.
type Format string

const (
	// Auto chooses the format by the content.
	Auto Format = "auto"
	// Tree is the product's own settings, by subtree.
	Tree Format = "tree"
	// DocumentFormat is a document of the users' platform.
	DocumentFormat Format = "document"
)

// Detect returns the format of a text, which may be invalid. Only settings may have
// comments, and only their members are paths of subtrees.
func Detect(content []byte) Format {
	rest := bytes.TrimSpace(content)
	if bytes.HasPrefix(rest, []byte("/")) {
		return Tree
	}
	rest, ok := bytes.CutPrefix(rest, []byte("{"))
	if !ok {
		return DocumentFormat
	}
	rest = bytes.TrimSpace(rest)
	if bytes.HasPrefix(rest, []byte("/")) {
		return Tree
	}
	var first string
	end := bytes.IndexByte(rest[min(1, len(rest)):], '"')
	if end < 0 || json.Unmarshal(rest[:end+2], &first) != nil {
		return DocumentFormat
	}
	if first == settings.SystemPath || strings.Contains(first, "/") {
		return Tree
	}
	return DocumentFormat
}
