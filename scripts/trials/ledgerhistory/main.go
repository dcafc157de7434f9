// Command ledgerhistory reserves ledger keys through all control replicas for a
// given time and checks that the history of answers is linearizable. The script
// history.sh kills and freezes the replicas meanwhile.
package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

const (
	writers     = 8
	callTimeout = 2 * time.Second
	// keyInterval is how long all writers compete for one key.
	keyInterval = 20 * time.Millisecond
	// errorPause is the delay after an error. Each lost answer for a key
	// multiplies the orderings that the check must try.
	errorPause   = 3 * keyInterval
	checkTimeout = time.Minute
)

// call is the reservation of a key by an attempt. Its output is the attempt that
// holds the key, or empty if the answer was lost.
type call struct {
	key, attempt string
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			byKey[o.Input.(call).key] = append(byKey[o.Input.(call).key], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		holder := state.(string)
		if holder == "" {
			holder = in.(call).attempt
		}
		return out == "" || out == holder, holder
	},
}

// recorder records the history of operations.
type recorder struct {
	start   time.Time
	clients []peerpb.ControlClient

	mu      sync.Mutex // guards the fields below
	history []porcupine.Operation
	unknown int
	refused int
}

func main() {
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "ledgerhistory:", err)
		os.Exit(1)
	}
}

// run reserves keys for a number of seconds through the replicas at the given
// peer addresses and checks the history.
func run(seconds string, addresses []string) error {
	n, err := strconv.Atoi(seconds)
	if err != nil {
		return fmt.Errorf("parse duration in seconds: %w", err)
	}
	r := &recorder{start: time.Now()}
	for _, address := range addresses {
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return fmt.Errorf("prepare connection to %s: %w", address, err)
		}
		defer conn.Close()
		r.clients = append(r.clients, peerpb.NewControlClient(conn))
	}
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() { r.write(w, time.Duration(n)*time.Second) })
	}
	group.Wait()
	result := porcupine.CheckOperationsTimeout(model, r.history, checkTimeout)
	fmt.Printf("%d answered or unknown, %d of them unknown, %d refused as not run: history is %s\n",
		len(r.history), r.unknown, r.refused, result)
	if result != porcupine.Ok {
		return fmt.Errorf("linearizability check failed: history is %s", result)
	}
	return nil
}

func (r *recorder) write(writer int, d time.Duration) {
	for n := 0; time.Since(r.start) < d; n++ {
		key := strconv.FormatInt(int64(time.Since(r.start)/keyInterval), 10)
		if !r.reserve(writer, call{key: key, attempt: fmt.Sprintf("%d-%d", writer, n)}) {
			time.Sleep(errorPause)
		}
	}
}

// reserve makes one call and reports whether it was answered.
func (r *recorder) reserve(writer int, c call) bool {
	command := store.Command{Reserve: &ledger.Reserve{Key: ledger.Key{IdempotencyKey: c.key}, Attempt: c.attempt}}
	encoded, err := command.Encode()
	if err != nil {
		panic(err) // Cannot happen: the command has only plain fields.
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o := porcupine.Operation{ClientId: writer, Input: c, Output: "", Call: int64(time.Since(r.start))}
	response, err := r.clients[rand.IntN(len(r.clients))].Submit(ctx, &peerpb.SubmitRequest{Command: encoded})
	o.Return = int64(time.Since(r.start))
	if err == nil {
		result, decodeErr := store.DecodeResult(response.GetResult())
		if decodeErr != nil {
			panic(decodeErr)
		}
		o.Output = result.Ledger.Record.Reserve.Attempt
	}
	r.record(o, err)
	return err == nil
}

func (r *recorder) record(o porcupine.Operation, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status.Code(err) == codes.FailedPrecondition {
		r.refused++
		return
	}
	if err != nil {
		r.unknown++
		o.Return = math.MaxInt64
	}
	r.history = append(r.history, o)
}
