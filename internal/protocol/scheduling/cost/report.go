package cost

// SetServers sets the listed servers. What was learned of an earlier run of one is forgotten.
// Like TakeMeasured and SetShared, it does nothing without a model.
func (m *Model) SetServers(runs []Run) {
	if m == nil {
		return
	}
	born := make(map[string]int64, len(runs))
	for _, r := range runs {
		born[r.ID] = r.Born
	}
	m.mu.Lock()
	earlier := m.born
	m.born = born
	sameRun := func(id string) bool {
		before, listed := earlier[id]
		now, still := born[id]
		return listed && still && before == now
	}
	for id := range m.measured {
		if !sameRun(id) {
			delete(m.measured, id)
		}
	}
	m.mu.Unlock()
	m.services.Range(func(_, held any) bool {
		s := held.(*service)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.servers.Range(func(id, _ any) bool {
			if !sameRun(id.(string)) {
				s.servers.Delete(id)
				s.count.Add(-1)
			}
			return true
		})
		return true
	})
}

// SetShared sets how much slower than the median of their services servers are according to all
// entries; the others are as fast as that. Without any, what this entry observed counts.
func (m *Model) SetShared(slowness map[string]float64) {
	if m != nil {
		m.shared.Store(&slowness)
	}
}

// sharedFactor returns what SetShared set for a server.
func (m *Model) sharedFactor(server string) (factor float64, ok bool) {
	held := m.shared.Load()
	if held == nil || len(*held) == 0 {
		return 1, false
	}
	if factor, ok = (*held)[server]; !ok {
		factor = 1
	}
	return factor, true
}

// TakeMeasured returns what was observed of servers since the last call.
func (m *Model) TakeMeasured() []Measured {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.measured) == 0 {
		return nil
	}
	out := make([]Measured, 0, len(m.measured))
	for id, held := range m.measured {
		out = append(out, Measured{Server: id, Born: m.born[id], Weight: held.weight, LogSum: held.logSum})
	}
	clear(m.measured)
	return out
}

// measure adds an observation to those to report.
func (m *Model) measure(server string, weight, log float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.measured[server]
	if !ok && len(m.measured) >= maxServers {
		return
	}
	held.weight, held.logSum = held.weight+weight, held.logSum+weight*log
	m.measured[server] = held
}
