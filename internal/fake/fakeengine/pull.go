package fakeengine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// weightPuller returns a function for OrderOptions.Pull that starts a transfer of
// an order's weights from the weight store with the given base URL. A failed
// transfer is not retried, because the fake engine needs no real weights.
func weightPuller(store, engine string) func(order backend.OrderRequest) (end func()) {
	return func(order backend.OrderRequest) (end func()) {
		ctx, cancel := context.WithCancel(context.Background())
		go transfer(ctx, weightsURL(store, engine, order))
		return cancel
	}
}

func weightsURL(store, engine string, order backend.OrderRequest) string {
	path := store + "/v1/weights/" + url.PathEscape(order.Kind) + "/" + url.PathEscape(order.Name) + "/" + url.PathEscape(order.Version)
	query := url.Values{"engine": {engine}, "rate": {strconv.FormatInt(order.Rate, 10)}}
	return path + "?" + query.Encode()
}

func transfer(ctx context.Context, from string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, from, http.NoBody)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}
