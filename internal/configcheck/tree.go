package configcheck

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// operatorsPointer begins the pointers of operators, which hold the hashes of tokens.
const operatorsPointer = "/" + settings.OperatorsGroup + "/"

// maxChangeBytes is the maximum size of a change, that of a command in the replicated log.
const maxChangeBytes = 1 << 20

// CheckTree checks a settings file with the code that accepts settings. zones may be nil;
// they are not checked then. If inForce isn't nil, it is a settings file to compare with;
// an error in that is returned as err.
func CheckTree(content, inForce []byte, zones []string) (findings []Finding, err error) {
	tree, parseErr := settings.ParseFile(content, zones)
	if parseErr != nil {
		findings = []Finding{treeError(content, parseErr)}
	} else {
		findings = checkConfiguration(tree.Configuration)
		size := 0
		for _, subtree := range tree.Subtrees {
			size += len(subtree)
		}
		if size > maxChangeBytes {
			findings = append(findings, Finding{Severity: Warning, Message: fmt.Sprintf("the subtrees have %d bytes; one change holds up to %d, so they can't all be changed at once", size, maxChangeBytes)})
		}
	}
	if inForce != nil {
		current, err := settings.ParseFile(inForce, nil)
		if err != nil {
			f := treeError(inForce, err)
			return nil, fmt.Errorf("%d:%d: %s: %s", f.Line, f.Column, f.Pointer, f.Message)
		}
		if parseErr == nil {
			findings = append(findings, compareSubtrees(tree, current)...)
		}
	}
	locator := NewLocator(content)
	for i := range findings {
		if f := &findings[i]; f.Line == 0 {
			f.Line, f.Column = locator.Position(f.Pointer)
		} else if f.Line < 0 {
			f.Line = 0
		}
	}
	Sort(findings)
	return findings, nil
}

// notInFile is the line of a finding about what the file doesn't hold.
const notInFile = -1

var (
	syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)
	linePosition   = regexp.MustCompile(`^(\d+): `)
	// quotedContent is the text of the file that an error quotes. It may be a part of a token.
	quotedContent = regexp.MustCompile(`(invalid literal): .*|(invalid character) (?:'[^']*'|'\\''|\S+)`)
)

// treeError returns the finding for an error of the code that accepts settings.
func treeError(content []byte, err error) Finding {
	out := Finding{Severity: Error}
	var field *strictjson.FieldError
	text := err.Error()
	if errors.As(err, &field) {
		out.Pointer, out.Message = withoutTokens(field.Path, field.Reason)
		out.Line, out.Column = NewLocator(content).Position(out.Pointer)
		return out
	}
	if found := syntaxPosition.FindStringSubmatch(text); found != nil {
		out.Line, _ = strconv.Atoi(found[1])
		out.Column, _ = strconv.Atoi(found[2])
		text = text[len(found[0]):]
	} else if found := linePosition.FindStringSubmatch(text); found != nil {
		out.Line, _ = strconv.Atoi(found[1])
		out.Column = 1
		text = text[len(found[0]):]
	}
	out.Message = quotedContent.ReplaceAllString(text, "$1$2")
	return out
}

// withoutTokens removes from an error about an operator what it quotes of the file: an
// operator may have given a token where its hash, a duration or a name is expected.
func withoutTokens(pointer, reason string) (safePointer, safeReason string) {
	if !strings.HasPrefix(pointer, operatorsPointer) {
		return pointer, reason
	}
	reason, _, _ = strings.Cut(reason, ", got ")
	name, rest, _ := strings.Cut(strings.TrimPrefix(pointer, operatorsPointer), "/")
	field, _, _ := strings.Cut(rest, "/")
	if field != "" && field != "token_sha256" && field != "subtrees" {
		pointer = operatorsPointer + name
	}
	return pointer, reason
}

type treeCheck struct {
	*settings.Configuration
	findings []Finding
}

func (c *treeCheck) warn(pointer, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: Warning, Pointer: pointer, Message: fmt.Sprintf(format, args...)})
}

func checkConfiguration(configuration *settings.Configuration) []Finding {
	c := &treeCheck{Configuration: configuration}
	used := make(map[string]bool)
	for name, team := range c.Teams {
		if len(team.Classes) == 0 {
			c.warn("/teams/"+name, "team %q can't be used: it has no class", name)
		}
		for _, class := range team.Classes {
			used[class.Model] = true
		}
		c.oldSystemShares(name, team)
	}
	for name, model := range c.Models {
		c.model("/models/"+name, name, model, used[name])
	}
	for name, service := range c.Services {
		c.service("/services/"+name, name, service)
	}
	for name, operator := range c.Operators {
		c.operator(operatorsPointer+name, operator)
	}
	return c.findings
}

// oldSystemShares warns of a class that no caller reaches here.
func (c *treeCheck) oldSystemShares(name string, team settings.Team) {
	for class, value := range team.Classes {
		if value.OldSystemShare >= 1 && len(team.Customers) == 0 {
			c.warn("/teams/"+name+"/classes/"+class+"/old_system_share", "class %q gets no requests: all callers are sent to the old system", class)
		}
	}
}

func (c *treeCheck) model(pointer, name string, model settings.Model, used bool) {
	if !used {
		c.warn(pointer, "model %q gets no requests: no class names it", name)
	}
	if len(model.Weights) > 0 && c.System.WeightStoreRate == 0 {
		c.warn(pointer+"/weights", "the weights are never loaded: /system/weight_store_rate is 0")
	}
	drained, pinned := 0, make(map[settings.Role]int)
	for engine, value := range model.Engines {
		if value.Drain {
			drained++
		}
		pinned[value.Role]++
		if value.Role != "" && value.Authority == settings.AuthorityOldSystem {
			c.warn(pointer+"/engines/"+engine+"/role", "no order is sent for it: the old system orders this engine")
		}
	}
	if drained == len(model.Engines) {
		c.warn(pointer+"/engines", "model %q can't be served: it has no engine, or all are drained", name)
	}
	for role := range model.Speeds {
		if len(model.Engines) > 0 && pinned[""] == 0 && pinned[role] == 0 {
			c.warn(pointer+"/speeds/"+string(role), "has no effect: no engine can have this role")
		}
	}
}

func (c *treeCheck) service(pointer, name string, service settings.Service) {
	drained := 0
	for _, backend := range service.Backends {
		if backend.Drain {
			drained++
		}
	}
	if drained == len(service.Backends) {
		c.warn(pointer+"/backends", "service %q can't be served: it has no backend server, or all are drained", name)
	}
	if len(service.Calls) == 0 {
		c.warn(pointer, "service %q can't be used: it has no call", name)
	}
	for path, call := range service.Calls {
		if call.Idempotent && call.Lookup != "" {
			c.warn(pointer+"/calls/"+path+"/lookup", "has no effect: outcomes are looked up for calls that aren't idempotent")
		}
	}
}

// operator warns of prefixes that another prefix of the operator covers.
func (c *treeCheck) operator(pointer string, operator settings.Operator) {
	for i, prefix := range operator.Subtrees {
		for n, other := range operator.Subtrees {
			covers := other == settings.RootPath || strings.HasPrefix(prefix, other+"/") || other == prefix && n < i
			if n != i && covers && (prefix != other || n < i) {
				c.warn(fmt.Sprintf("%s/subtrees/%d", pointer, i), "has no effect: the prefix at %s/subtrees/%d covers it", pointer, n)
				break
			}
		}
	}
}

// compareSubtrees returns the differences by value. Subtrees that the file leaves out stay
// unless it is applied with --prune.
func compareSubtrees(file, current *settings.File) []Finding {
	var out []Finding
	for _, path := range slices.Sorted(maps.Keys(file.Subtrees)) {
		before, ok := current.Subtrees[path]
		if !ok {
			out = append(out, Finding{Severity: Difference, Pointer: "/" + path, Message: "the subtree is added"})
			continue
		}
		out = append(out, compareJSON("/"+path, file.Subtrees[path], before)...)
	}
	for _, path := range slices.Sorted(maps.Keys(current.Subtrees)) {
		if _, ok := file.Subtrees[path]; ok {
			continue
		}
		message := "the subtree isn't in the file; it stays unless the file is applied with --prune"
		if strings.HasPrefix("/"+path, operatorsPointer) {
			message = "the operator isn't in the file and stays"
		}
		out = append(out, Finding{Severity: Difference, Pointer: "/" + path, Line: notInFile, Message: message})
	}
	return out
}
