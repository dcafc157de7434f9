package settings

import (
	"fmt"
	"maps"
	"math"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Limits of the durations that operators may set.
const (
	minAddressTTL      = time.Second
	maxAddressTTL      = 10 * time.Minute
	minLedgerRetention = time.Minute
	maxLedgerRetention = 90 * 24 * time.Hour
	maxExpectedWait    = 24 * time.Hour
	maxCallTimeout     = time.Hour
)

// Defaults of the system subtree.
const (
	defaultAddressTTL      = 30 * time.Second
	defaultLedgerRetention = 72 * time.Hour
)

// withDefaults returns s with defaults in place of zero durations.
func (s System) withDefaults() System {
	setDefault(&s.AddressTTL, defaultAddressTTL)
	setDefault(&s.LedgerRetention, defaultLedgerRetention)
	return s
}

func setDefault(d *strictjson.Duration, value time.Duration) {
	if *d == 0 {
		*d = strictjson.Duration(value)
	}
}

// Check validates every field and the constraints between fields. It returns
// a *strictjson.FieldError for the first violation: groups and fields are
// checked in a fixed order, named members in the order of their names.
func (c *Configuration) Check() error {
	if err := c.checkSystem(); err != nil {
		return err
	}
	if err := checkEach("/teams", c.Teams, c.checkTeam); err != nil {
		return err
	}
	if err := checkEach("/models", c.Models, c.checkModel); err != nil {
		return err
	}
	if err := checkEach("/services", c.Services, c.checkService); err != nil {
		return err
	}
	if err := checkEach("/operators", c.Operators, checkOperator); err != nil {
		return err
	}
	return c.checkUnique()
}

// checkEach checks the members of a map in the order of their names. As in all
// checks of this package, at is the JSON pointer of the value.
func checkEach[T any](at string, group map[string]T, check func(at string, value T) error) error {
	for _, name := range sortedKeys(group) {
		if err := checkName(at+"/"+name, name); err != nil {
			return err
		}
		if err := check(at+"/"+name, group[name]); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}

func (c *Configuration) checkSystem() error {
	s := c.System
	if err := checkDuration("/system/address_ttl", s.AddressTTL, minAddressTTL, maxAddressTTL); err != nil {
		return err
	}
	if err := checkDuration("/system/ledger_retention", s.LedgerRetention, minLedgerRetention, maxLedgerRetention); err != nil {
		return err
	}
	for i, address := range s.OldSystem {
		at := fmt.Sprintf("/system/old_system/%d", i)
		if err := checkURL(at, address); err != nil {
			return err
		}
		if first := slices.Index(s.OldSystem, address); first < i {
			return fieldError(at, "URL %s is already used at /system/old_system/%d", address, first)
		}
	}
	return nil
}

func (c *Configuration) checkTeam(at string, team Team) error {
	if err := checkEach(at+"/classes", team.Classes, c.checkClass); err != nil {
		return err
	}
	return checkEach(at+"/customers", team.Customers, c.checkCustomer)
}

func (c *Configuration) checkClass(at string, class Class) error {
	if _, ok := c.Models[class.Model]; !ok {
		return fieldError(at+"/model", "no model %q", class.Model)
	}
	if err := checkDuration(at+"/expected_wait", class.ExpectedWait, time.Nanosecond, maxExpectedWait); err != nil {
		return err
	}
	if !positiveFinite(class.Worth) {
		return fieldError(at+"/worth", "expected a positive number")
	}
	return c.checkShare(at+"/old_system_share", class.OldSystemShare)
}

func (c *Configuration) checkCustomer(at string, customer Customer) error {
	if !positiveFinite(customer.Share) {
		return fieldError(at+"/share", "expected a positive number")
	}
	if customer.MaxConcurrent < 0 {
		return fieldError(at+"/max_concurrent", "expected zero or more")
	}
	if customer.OldSystemShare == nil {
		return nil
	}
	return c.checkShare(at+"/old_system_share", *customer.OldSystemShare)
}

// checkShare validates the fraction of callers that is sent to the old system.
func (c *Configuration) checkShare(at string, share float64) error {
	if !(share >= 0 && share <= 1) {
		return fieldError(at, "expected a number from 0 to 1")
	}
	if share > 0 && len(c.System.OldSystem) == 0 {
		return fieldError(at, "expected 0, because /system/old_system lists no address")
	}
	return nil
}

func (c *Configuration) checkModel(at string, model Model) error {
	if err := checkEach(at+"/engines", model.Engines, c.checkEngine); err != nil {
		return err
	}
	for i, weights := range model.Weights {
		if err := checkWeights(fmt.Sprintf("%s/weights/%d", at, i), weights); err != nil {
			return err
		}
	}
	// In a fixed order: all replicas must refuse a change for the same reason.
	for _, role := range slices.Sorted(maps.Keys(model.Speeds)) {
		if err := checkSpeed(at+"/speeds/"+string(role), role, model.Speeds[role]); err != nil {
			return err
		}
	}
	if !(model.RolePrice >= 0) || math.IsInf(model.RolePrice, 0) {
		return fieldError(at+"/role_price", "expected zero or more")
	}
	return checkRoleMinimums(at, model)
}

func checkWeights(at string, weights Weights) error {
	switch weights.Kind {
	case "model", "adapter", "version":
	default:
		return fieldError(at+"/kind", "expected \"model\", \"adapter\" or \"version\"")
	}
	if weights.Name == "" {
		return fieldError(at+"/name", "expected a name")
	}
	return nil
}

func checkSpeed(at string, role Role, speed Speed) error {
	switch role {
	case RolePrefill, RoleDecode, RoleMixed:
	default:
		return fieldError(at, "expected the role %q, %q or %q", RolePrefill, RoleDecode, RoleMixed)
	}
	if !(speed.PrefillRate > 0) || math.IsInf(speed.PrefillRate, 0) {
		return fieldError(at+"/prefill_rate", "expected a positive number")
	}
	if speed.StepBase <= 0 || speed.StepPerSequence <= 0 {
		return fieldError(at+"/step_base", "expected positive durations for a decode step")
	}
	if speed.MaxSequences <= 0 {
		return fieldError(at+"/max_sequences", "expected a positive number")
	}
	if !(speed.PrefillShare > 0 && speed.PrefillShare < 1) {
		return fieldError(at+"/prefill_share", "expected a number between 0 and 1")
	}
	return nil
}

// checkRoleMinimums verifies that the model has enough engines to meet
// MinPrefill and MinDecode at the same time. Engines without a pinned role
// count for either, engines pinned to the mixed role for neither.
func checkRoleMinimums(at string, model Model) error {
	if model.MinPrefill < 0 {
		return fieldError(at+"/min_prefill", "expected zero or more")
	}
	if model.MinDecode < 0 {
		return fieldError(at+"/min_decode", "expected zero or more")
	}
	unpinned, prefill, decode := 0, 0, 0
	for _, engine := range model.Engines {
		switch engine.Role {
		case RolePrefill:
			prefill++
		case RoleDecode:
			decode++
		case "":
			unpinned++
		}
	}
	missingPrefill := max(0, model.MinPrefill-prefill)
	missingDecode := max(0, model.MinDecode-decode)
	switch {
	case missingPrefill > unpinned:
		return fieldError(at+"/min_prefill", "expected at most %d, the engines that may take the role", prefill+unpinned)
	case missingPrefill+missingDecode > unpinned:
		return fieldError(at+"/min_decode", "expected at most %d, the engines left for the role", decode+unpinned-missingPrefill)
	}
	return nil
}

func (c *Configuration) checkEngine(at string, engine Engine) error {
	if err := checkURL(at+"/url", engine.URL); err != nil {
		return err
	}
	if err := c.checkZone(at+"/zone", engine.Zone); err != nil {
		return err
	}
	switch engine.Authority {
	case AuthorityLagoonshift, AuthorityOldSystem:
	default:
		return fieldError(at+"/authority", "expected %q or %q", AuthorityLagoonshift, AuthorityOldSystem)
	}
	switch engine.Role {
	case "", RolePrefill, RoleDecode, RoleMixed:
	default:
		return fieldError(at+"/role", "expected %q, %q or %q", RolePrefill, RoleDecode, RoleMixed)
	}
	return nil
}

func (c *Configuration) checkService(at string, service Service) error {
	if err := checkEach(at+"/backends", service.Backends, c.checkBackend); err != nil {
		return err
	}
	for _, path := range sortedKeys(service.Calls) {
		if err := checkCall(at+"/calls/"+path, path, service.Calls[path]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) checkBackend(at string, backend Backend) error {
	if err := checkURL(at+"/url", backend.URL); err != nil {
		return err
	}
	return c.checkZone(at+"/zone", backend.Zone)
}

func checkCall(at, path string, call Call) error {
	for segment := range strings.SplitSeq(path, "/") {
		if err := checkName(at, segment); err != nil {
			return err
		}
	}
	return checkDuration(at+"/timeout", call.Timeout, time.Millisecond, maxCallTimeout)
}

func checkOperator(at string, operator Operator) error {
	if !isHexSHA256(operator.TokenSHA256) {
		return fieldError(at+"/token_sha256", "expected 64 lower-case hex digits")
	}
	if len(operator.Subtrees) == 0 {
		return fieldError(at+"/subtrees", "expected at least one subtree")
	}
	for i, prefix := range operator.Subtrees {
		if err := checkPrefix(fmt.Sprintf("%s/subtrees/%d", at, i), prefix); err != nil {
			return err
		}
	}
	return nil
}

func isHexSHA256(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

func (c *Configuration) checkZone(at, zone string) error {
	if c.Zones == nil || slices.Contains(c.Zones, zone) {
		return nil
	}
	return fieldError(at, "expected one of the deployment's zones %s, got %q", strings.Join(c.Zones, ", "), zone)
}

// checkUnique verifies that engine names are unique across models, and that no
// URL or token is used twice.
func (c *Configuration) checkUnique() error {
	urls, engines, tokens := make(uniqueValues), make(uniqueValues), make(uniqueValues)
	for _, model := range sortedKeys(c.Models) {
		for _, name := range sortedKeys(c.Models[model].Engines) {
			at := "/models/" + model + "/engines/" + name
			if err := engines.add("engine", name, at, at); err != nil {
				return err
			}
			if err := urls.add("URL", c.Models[model].Engines[name].URL, at+"/url", at+"/url"); err != nil {
				return err
			}
		}
	}
	for _, service := range sortedKeys(c.Services) {
		for _, name := range sortedKeys(c.Services[service].Backends) {
			at := "/services/" + service + "/backends/" + name + "/url"
			if err := urls.add("URL", c.Services[service].Backends[name].URL, at, at); err != nil {
				return err
			}
		}
	}
	for _, name := range sortedKeys(c.Operators) {
		at := "/operators/" + name
		if err := tokens.add("token", c.Operators[name].TokenSHA256, at+"/token_sha256", at); err != nil {
			return err
		}
	}
	return nil
}

// uniqueValues maps each value to the JSON pointer of its first use.
type uniqueValues map[string]string

// add records that a value is used at the JSON pointer at, and fails if it is
// used already. Errors about later uses name shown as the first use.
func (u uniqueValues) add(kind, value, at, shown string) error {
	if first, ok := u[value]; ok {
		return fieldError(at, "%s is already used at %s", kind, first)
	}
	u[value] = shown
	return nil
}

func checkDuration(at string, d strictjson.Duration, shortest, longest time.Duration) error {
	if d.Std() < shortest || d.Std() > longest {
		return fieldError(at, "expected a duration from %s to %s, got %s", shortest, longest, d.Std())
	}
	return nil
}

// checkURL accepts base URLs whose host is an IP address, because the platform
// and the callers identify VMs by IP address.
func checkURL(at, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fieldError(at, "expected an http or https URL, got %q", text)
	}
	if net.ParseIP(u.Hostname()) == nil {
		return fieldError(at, "expected a URL with an IP address, got %q", text)
	}
	if strings.HasSuffix(u.Path, "/") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return fieldError(at, "expected a base URL without a final slash, query or user, got %q", text)
	}
	return nil
}

func positiveFinite(x float64) bool {
	return x > 0 && !math.IsInf(x, 0)
}

func fieldError(at, format string, args ...any) error {
	return &strictjson.FieldError{Path: at, Reason: fmt.Sprintf(format, args...)}
}
