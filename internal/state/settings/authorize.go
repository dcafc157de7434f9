package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// RootOperator is the operator whose token is set in the deployment file.
const RootOperator = "root"

// HashToken returns the hex SHA-256 of a token, the form in which operator
// subtrees store it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// FindOperator returns the name of the operator with the given token hash.
func (c *Configuration) FindOperator(tokenSHA256 string) (name string, ok bool) {
	for name, operator := range c.Operators {
		if sameHash(operator.TokenSHA256, tokenSHA256) {
			return name, true
		}
	}
	return "", false
}

// hasValidToken reports whether the change carries the token of the operator
// it names.
func (t *Tree) hasValidToken(c *Change) bool {
	operator, ok := t.current.Operators[c.Operator]
	return ok && sameHash(operator.TokenSHA256, c.TokenSHA256)
}

// firstDenied returns the first edited path that the operator is not
// authorized to change.
func (t *Tree) firstDenied(c *Change) (path string, ok bool) {
	prefixes := t.current.Operators[c.Operator].Subtrees
	for _, e := range c.Edits {
		allowed := func(prefix string) bool { return covers(prefix, e.Path) }
		if !slices.ContainsFunc(prefixes, allowed) {
			return truncate(e.Path), true
		}
	}
	return "", false
}

func sameHash(a, b string) bool {
	return a != "" && subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// CanRead reports whether the operator may read the subtree at path. Every
// operator may read all subtrees that operators write, except the subtrees of
// other operators, which it may read only if it may change them.
func (t *Tree) CanRead(operator, path string) bool {
	if !isOperatorGroup(splitPath(path).Group) && path != SystemPath {
		return false
	}
	if !covers(OperatorsGroup, path) || path == OperatorsGroup+"/"+operator {
		return true
	}
	allowed := func(prefix string) bool { return covers(prefix, path) }
	return slices.ContainsFunc(t.current.Operators[operator].Subtrees, allowed)
}
