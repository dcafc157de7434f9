// Command ordersender is a test program for the guard of order writes. It sends
// one order to an engine and can suspend itself between the check of its lease and
// the write, or it counts the orders that an engine has received, those that took
// effect and the violations among them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sys/unix"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/guard"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/reconcile"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/transport/backendhttp"
)

type options struct {
	engine    string
	order     backend.OrderRequest
	role      string
	lease     time.Duration
	freeze    bool
	unguarded bool
}

func main() {
	app := kingpin.New("ordersender", "Test program for the guard of order writes.")
	var o options
	app.Flag("engine", "Base URL of the engine.").Required().StringVar(&o.engine)
	send := app.Command("send", "Send one order.")
	send.Flag("id", "Order ID.").Required().StringVar(&o.order.ID)
	send.Flag("fence", "Fencing token and term.").Required().Uint64Var(&o.order.Fence)
	send.Flag("role", "Role to change to.").Required().StringVar(&o.role)
	send.Flag("lease", "How long this process has authority, with its unit.").Default("200ms").DurationVar(&o.lease)
	send.Flag("freeze", "Suspend this process between check and write.").BoolVar(&o.freeze)
	send.Flag("unguarded", "Inject a fault: check only the clock.").BoolVar(&o.unguarded)
	judge := app.Command("judge", "Print the numbers of orders, effects, late orders that took effect, and violations at the engine.")
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case send.FullCommand():
		err = o.send()
	case judge.FullCommand():
		err = o.judge()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "ordersender:", err)
		os.Exit(1)
	}
}

// suspendingGuard is a guard that suspends the process between the check of the
// inner guard and the write.
type suspendingGuard struct {
	inner guard.Guard
}

// Do implements guard.Guard.
func (s suspendingGuard) Do(until clock.Instant, write func()) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	return s.inner.Do(until, func() {
		// A signal to the calling thread takes effect before the system call
		// returns, so the write cannot overtake it.
		_ = unix.Tgkill(os.Getpid(), unix.Gettid(), unix.SIGSTOP)
		write()
	})
}

func (o *options) send() error {
	var g guard.Guard = guard.ClockCheck{Clock: clock.Boot{}}
	if !o.unguarded {
		kernel, err := guard.NewKernelTimer()
		if err != nil {
			return err
		}
		g = kernel
	}
	if o.freeze {
		g = suspendingGuard{inner: g}
	}
	o.order.Kind = "role"
	o.order.Role = settings.Role(o.role)
	o.order.Term = o.order.Fence
	o.order.Sender = fmt.Sprint("process ", os.Getpid())
	until := clock.Boot{}.Now().Add(o.lease)
	answer, err := backendhttp.NewOrderClient(g).Order(context.Background(), o.engine, until, o.order)
	if errors.Is(err, reconcile.ErrUnsent) {
		return fmt.Errorf("not sent: %w", err)
	}
	if err != nil {
		return err
	}
	fmt.Println(answer.Status)
	return nil
}

func (o *options) judge() error {
	response, err := http.Get(o.engine + "/v1/orders")
	if err != nil {
		return fmt.Errorf("read orders: %w", err)
	}
	defer response.Body.Close()
	var record fakeengine.Record
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return fmt.Errorf("decode orders: %w", err)
	}
	effects, late := 0, 0
	for _, a := range record.Arrivals {
		if a.Effect {
			effects++
		}
	}
	violations := record.Violations()
	for _, v := range violations {
		if strings.Contains(v, "old fencing token") {
			late++
		}
	}
	fmt.Printf("%d %d %d %d\n", len(record.Arrivals), effects, late, len(violations))
	for _, v := range violations {
		fmt.Fprintln(os.Stderr, v)
	}
	return nil
}
