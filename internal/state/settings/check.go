package settings

import (
	"fmt"
	"net/url"

	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Check verifies the rules that span several fields. It returns a
// *strictjson.FieldError for the first one that is broken.
func (c *Configuration) Check() error {
	for name, team := range c.Teams {
		if err := c.checkTeam("/teams/"+name, team); err != nil {
			return err
		}
	}
	for name, model := range c.Models {
		if err := checkModel("/models/"+name, model); err != nil {
			return err
		}
	}
	for name, service := range c.Services {
		if err := checkService("/services/"+name, service); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) checkTeam(at string, team Team) error {
	for name, class := range team.Classes {
		at := at + "/classes/" + name
		if _, ok := c.Models[class.Model]; !ok {
			return fieldError(at+"/model", "no model %q", class.Model)
		}
		if class.ExpectedWait <= 0 {
			return fieldError(at+"/expected_wait", "expected a positive duration")
		}
		if class.Worth <= 0 {
			return fieldError(at+"/worth", "expected a positive number")
		}
		if class.OldSystemShare < 0 || class.OldSystemShare > 1 {
			return fieldError(at+"/old_system_share", "expected a number from 0 to 1")
		}
	}
	return nil
}

func checkModel(at string, model Model) error {
	for i, weights := range model.Weights {
		switch weights.Kind {
		case "model", "adapter", "version":
		default:
			return fieldError(fmt.Sprintf("%s/weights/%d/kind", at, i), "expected \"model\", \"adapter\" or \"version\"")
		}
	}
	for name, engine := range model.Engines {
		at := at + "/engines/" + name
		if err := checkURL(at+"/url", engine.URL); err != nil {
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
	}
	return nil
}

func checkService(at string, service Service) error {
	for name, backend := range service.Backends {
		if err := checkURL(at+"/backends/"+name+"/url", backend.URL); err != nil {
			return err
		}
	}
	for path, call := range service.Calls {
		if call.Timeout <= 0 {
			return fieldError(at+"/calls/"+path+"/timeout", "expected a positive duration")
		}
	}
	return nil
}

func checkURL(at, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fieldError(at, "expected an http or https URL, got %q", text)
	}
	return nil
}

func fieldError(at, format string, args ...any) error {
	return &strictjson.FieldError{Path: at, Reason: fmt.Sprintf(format, args...)}
}
