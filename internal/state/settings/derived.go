package settings

import "net/url"

// leavingURLs returns the base URLs of engines and backend servers whose VM
// is leaving, and of engines that an order closes.
func leavingURLs(c *Configuration) map[string]bool {
	leaving := make(map[string]bool)
	noteClosed(c, leaving)
	if !anyLeaving(c) {
		return leaving
	}
	note := func(baseURL string) {
		if u, err := url.Parse(baseURL); err == nil && c.VMs[u.Hostname()].Leaving {
			leaving[baseURL] = true
		}
	}
	for _, model := range c.Models {
		for _, engine := range model.Engines {
			note(engine.URL)
		}
	}
	for _, service := range c.Services {
		for _, backend := range service.Backends {
			note(backend.URL)
		}
	}
	return leaving
}

func noteClosed(c *Configuration, leaving map[string]bool) {
	if len(c.Closed) == 0 {
		return
	}
	for _, model := range c.Models {
		for name, engine := range model.Engines {
			if _, ok := c.Closed[name]; ok {
				leaving[engine.URL] = true
			}
		}
	}
}

func anyLeaving(c *Configuration) bool {
	for _, vm := range c.VMs {
		if vm.Leaving {
			return true
		}
	}
	return false
}

// zonesInUse returns the zones that engines and backend servers name.
func (c *Configuration) zonesInUse() map[string]bool {
	zones := make(map[string]bool)
	for _, model := range c.Models {
		for _, engine := range model.Engines {
			zones[engine.Zone] = true
		}
	}
	for _, service := range c.Services {
		for _, backend := range service.Backends {
			zones[backend.Zone] = true
		}
	}
	return zones
}
