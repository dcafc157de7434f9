package cost

// Kinds returns the number of kinds of requests whose outputs are known.
func (m *Model) Kinds(service string) int { return len(m.service(service).outputs.kinds) }
