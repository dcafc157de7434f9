package settings

import "net/url"

// findClosedURLs returns the base URLs of engines and backend servers whose VM
// is leaving, and of engines that an order closes to new work.
func findClosedURLs(c *Configuration) map[string]bool {
	closed := make(map[string]bool)
	addClosedEngines(c, closed)
	if !anyVMLeaving(c) {
		return closed
	}
	addIfLeaving := func(baseURL string) {
		if u, err := url.Parse(baseURL); err == nil && c.VMs[u.Hostname()].Leaving {
			closed[baseURL] = true
		}
	}
	for _, model := range c.Models {
		for _, engine := range model.Engines {
			addIfLeaving(engine.URL)
		}
	}
	for _, service := range c.Services {
		for _, backend := range service.Backends {
			addIfLeaving(backend.URL)
		}
	}
	return closed
}

func addClosedEngines(c *Configuration, closed map[string]bool) {
	if len(c.ClosedEngines) == 0 {
		return
	}
	for _, model := range c.Models {
		for name, engine := range model.Engines {
			if _, ok := c.ClosedEngines[name]; ok {
				closed[engine.URL] = true
			}
		}
	}
}

func anyVMLeaving(c *Configuration) bool {
	for _, vm := range c.VMs {
		if vm.Leaving {
			return true
		}
	}
	return false
}

// zonesInUse returns the zones of all engines and backend servers.
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
