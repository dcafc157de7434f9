package phaseplan

import (
	"fmt"
	"testing"
	"time"
)

// TestOldOrdersAreForgotten guards against a record that grows with each engine that was ever
// ordered, where engines come and go all the time.
func TestOldOrdersAreForgotten(t *testing.T) {
	d := NewDriver(DriverOptions{})
	for i := range 1000 {
		d.lastOrder[fmt.Sprint("gone-", i)] = time.Now().Add(-orderSettleTime)
	}
	d.lastOrder["recent"] = time.Now()
	d.settle(nil)
	if _, kept := d.lastOrder["recent"]; len(d.lastOrder) != 1 || !kept {
		t.Errorf("%d orders remembered, the recent one: %t; want that one only", len(d.lastOrder), kept)
	}
}
