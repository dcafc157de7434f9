package backendhttp

import (
	"context"
)

// EntryLoad fetches the number of requests in progress at the entry with the
// given caller address.
func (c *Client) EntryLoad(ctx context.Context, address string) (int, error) {
	var answer struct {
		InFlight int `json:"in_flight"`
	}
	err := getJSON(ctx, c.http, "read load of entry", "http://"+address+"/v1/load", &answer)
	return answer.InFlight, err
}
