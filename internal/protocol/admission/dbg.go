package admission

import "fmt"

func (c *Controller) String() string {
	out := ""
	for _, m := range c.models {
		for _, key := range m.keys() {
			k := m.classes[key]
			out += fmt.Sprintf("%s f=%.2f %+v  n=%d |", key.class, k.fraction, k.fluid(), len(k.customers))
		}
	}
	return out
}
