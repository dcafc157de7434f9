package settings

import (
	"fmt"
	"strings"
)

// Groups of subtrees. SystemPath is a single subtree; each other group holds
// one subtree per name.
const (
	SystemPath    = "system"
	groupTeams    = "teams"
	groupModels   = "models"
	groupServices = "services"
	// OperatorsGroup holds the operators. It is not sent to entries.
	OperatorsGroup = "operators"
	// The next three groups are written by the system, not by operators.
	groupMembers = "members"
	groupVMs     = "vms"
	groupClosed  = "closed"
	// RootPath is the whole tree in an operator's list of subtrees.
	RootPath = "/"
)

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 63

// Path is a parsed subtree path.
type Path struct {
	Group string
	// Name is empty for SystemPath.
	Name string
}

// String returns the path in text form, such as "teams/desk" or "system".
func (p Path) String() string {
	if p.Name == "" {
		return p.Group
	}
	return p.Group + "/" + p.Name
}

// ParsePath parses the path of a subtree that operators write.
func ParsePath(text string) (Path, error) {
	group, name, nested := strings.Cut(text, "/")
	p := Path{Group: group, Name: name}
	switch {
	case text == SystemPath:
		return p, nil
	case !nested || !isOperatorGroup(group):
		return Path{}, fieldError("/"+text, "expected %q or one of teams/, models/, services/ and operators/ with a name", SystemPath)
	}
	return p, checkName("/"+text, name)
}

func isOperatorGroup(group string) bool {
	switch group {
	case groupTeams, groupModels, groupServices, OperatorsGroup:
		return true
	}
	return false
}

// checkName accepts names that are valid in a path, an HTTP header and a
// metric label.
func checkName(at, name string) error {
	valid := name != "" && len(name) <= maxNameBytes
	for i, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		valid = valid && (letter || i > 0 && strings.ContainsRune("._-", r))
	}
	if valid {
		return nil
	}
	return fieldError(at, "expected a name of up to %d letters, digits, dots, underscores and hyphens, got %q", maxNameBytes, name)
}

// covers reports whether path is at or below prefix.
func covers(prefix, path string) bool {
	if prefix == RootPath || prefix == path {
		return true
	}
	return strings.HasPrefix(path, prefix+"/")
}

// checkPrefix validates one entry of an operator's list of subtrees.
func checkPrefix(at, prefix string) error {
	if prefix == RootPath || isOperatorGroup(prefix) {
		return nil
	}
	if _, err := ParsePath(prefix); err != nil {
		return fieldError(at, "expected %q, a group such as %q or a subtree such as %q, got %q", RootPath, groupTeams, "teams/desk", prefix)
	}
	return nil
}

// pointer returns the JSON pointer of a subtree in the whole tree.
func (p Path) pointer() string {
	return fmt.Sprintf("/%s", p)
}

// splitPath splits a path without validating it.
func splitPath(text string) Path {
	group, name, _ := strings.Cut(text, "/")
	return Path{Group: group, Name: name}
}
