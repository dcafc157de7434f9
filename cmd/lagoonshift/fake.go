package main

import (
	"context"
	"crypto/rand"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeoldsystem"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeplatform"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeservice"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
)

func addFake(app *kingpin.Application, commands map[string]command) {
	fake := app.Command("fake", "Run fake servers for tests and trials.")
	addFakeEngine(fake, commands)
	addFakeService(fake, commands)
	addFakePlatform(fake, commands)
	addFakeOldSystem(fake, commands)
}

func addFakeEngine(fake *kingpin.CmdClause, commands map[string]command) {
	clause := fake.Command("engine", "Run a fake model engine.")
	address := clause.Flag("listen", "Address as IP:port.").Required().String()
	name := clause.Flag("name", "Name of the engine.").Default("engine").String()
	model := clause.Flag("model", "Model that the engine serves.").Required().String()
	rate := clause.Flag("prefill-rate", "Prompt tokens per second; 0 follows the engine's role.").Default("0").Float64()
	interval := clause.Flag("token-interval", "Time between two tokens of a stream, with its unit; 0s follows the engine's role and batch.").Default("0s").Duration()
	checks := clause.Flag("checks-fencing", "Refuse orders with an old fencing token.").Default("true").Bool()
	change := clause.Flag("change-time", "How long a role change or a load takes, with its unit.").Default("3s").Duration()
	store := clause.Flag("weight-store", "Base URL of the weight store from which loads are pulled.").String()
	slots := clause.Flag("slots", "Maximum number of concurrent requests; 0 means no bound.").Default("48").Int()
	commands["fake engine"] = func(ctx context.Context) error {
		engine := fakeengine.New(fakeengine.Options{
			Name:          *name,
			Model:         *model,
			Incarnation:   rand.Text(),
			PrefillRate:   *rate,
			TokenInterval: *interval,
			ChecksFencing: *checks,
			ChangeTime:    *change,
			WeightStore:   *store,
			Slots:         *slots,
		})
		return serve.HTTP(ctx, *address, engine.Handler(), nil)
	}
}

func addFakeService(fake *kingpin.CmdClause, commands map[string]command) {
	clause := fake.Command("service", "Run a fake plain service.")
	address := clause.Flag("listen", "Address as IP:port.").Required().String()
	delay := clause.Flag("delay", "How long a call takes, with its unit.").Default("20ms").Duration()
	commands["fake service"] = func(ctx context.Context) error {
		return serve.HTTP(ctx, *address, fakeservice.New(*delay).Handler(), nil)
	}
}

func addFakePlatform(fake *kingpin.CmdClause, commands map[string]command) {
	clause := fake.Command("platform", "Run a fake platform: a list of VMs that lags and flaps, and the weight store.")
	address := clause.Flag("listen", "Address as IP:port.").Required().String()
	o := fakeplatform.Options{}
	clause.Flag("lag", "Age of the list, with its unit.").Default("1s").DurationVar(&o.Lag)
	clause.Flag("flap", "Probability that an answer shows a VM as it was before, 0 to 1.").Default("0").Float64Var(&o.Flap)
	clause.Flag("seed", "Seed of the flapping.").Default("1").Uint64Var(&o.Seed)
	rate := clause.Flag("weight-rate", "Total rate of all transfers from the weight store, in bytes per second.").Default("1000000000").Int64()
	size := clause.Flag("weight-size", "Size of all weights, in bytes.").Default("1000000000").Int64()
	commands["fake platform"] = func(ctx context.Context) error {
		mux := http.NewServeMux()
		fakeplatform.New(o).Register(mux)
		fakeplatform.NewWeightStore(*rate, *size).Register(mux)
		return serve.HTTP(ctx, *address, mux, nil)
	}
}

func addFakeOldSystem(fake *kingpin.CmdClause, commands map[string]command) {
	clause := fake.Command("old-system", "Run a fake of the old serving system that runs beside this one.")
	address := clause.Flag("listen", "Address as IP:port.").Required().String()
	o := fakeoldsystem.Options{Services: make(map[string]string)}
	clause.Flag("engine", "Base URL of an engine; may be given several times.").StringsVar(&o.Engines)
	clause.Flag("service", "Plain service as name=base URL; may be given several times.").StringMapVar(&o.Services)
	clause.Flag("lagoonshift", "Base URL of an entry; may be given several times.").StringsVar(&o.Lagoonshift)
	commands["fake old-system"] = func(ctx context.Context) error {
		return serve.HTTP(ctx, *address, fakeoldsystem.New(o).Handler(), nil)
	}
}
