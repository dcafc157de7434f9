package backendhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// EntryLoad returns the number of requests that the entry with the given
// caller address has in progress.
func (c *Client) EntryLoad(ctx context.Context, address string) (int, error) {
	url := "http://" + address + "/v1/load"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("make request to %s: %w", url, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, fmt.Errorf("read load of entry %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, statusError("read load", url, response)
	}
	defer response.Body.Close()
	var answer struct {
		InFlight int `json:"in_flight"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return 0, fmt.Errorf("decode load of entry %s: %w", address, err)
	}
	return answer.InFlight, nil
}
