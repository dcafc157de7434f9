package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/tailscale/hujson"

	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

func addConfig(app *kingpin.Application, commands map[string]command) {
	config := app.Command("config", "Read and change settings.")
	get := config.Command("get", "Print the settings.")
	getURL := adminFlag(get)
	commands["config get"] = func(ctx context.Context) error { return printSettings(ctx, *getURL) }

	apply := config.Command("apply", "Apply every subtree of a settings file.")
	applyURL := adminFlag(apply)
	operator := apply.Flag("operator", "Name of the operator.").Default("operator").String()
	file := apply.Arg("file", "Settings file, JSON with comments.").Required().String()
	commands["config apply"] = func(ctx context.Context) error { return applySettings(ctx, *applyURL, *operator, *file) }
}

func adminFlag(c *kingpin.CmdClause) *string {
	return c.Flag("admin", "Base URL of a control process's administration API.").Required().String()
}

func printSettings(ctx context.Context, base string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/settings", nil)
	if err != nil {
		return fmt.Errorf("make request to %s: %w", base, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("read settings of %s: %w", base, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return fmt.Errorf("read settings of %s: %w", base, err)
	}
	return nil
}

func applySettings(ctx context.Context, base, operator, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return &settingsError{err: fmt.Errorf("read settings file: %w", err)}
	}
	standard, err := hujson.Standardize(content)
	if err != nil {
		return &settingsError{err: fmt.Errorf("%s: %w", file, err)}
	}
	var subtrees map[string]json.RawMessage
	if err := json.Unmarshal(standard, &subtrees); err != nil {
		return &settingsError{err: fmt.Errorf("%s: %w", file, err)}
	}
	number := uint64(time.Now().UnixNano())
	for i, path := range slices.Sorted(maps.Keys(subtrees)) {
		change := adminhttp.ChangeRequest{Operator: operator, Number: number + uint64(i), Path: path, Content: subtrees[path]}
		if err := postChange(ctx, base, change); err != nil {
			return err
		}
	}
	return nil
}

func postChange(ctx context.Context, base string, change adminhttp.ChangeRequest) error {
	encoded, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode change of %s: %w", change.Path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/settings/changes", bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("make request to %s: %w", base, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("change %s at %s: %w", change.Path, base, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("change %s at %s: %w", change.Path, base, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("change %s at %s: %s", change.Path, base, answer)
	}
	fmt.Printf("%s: %s", change.Path, answer)
	return nil
}
