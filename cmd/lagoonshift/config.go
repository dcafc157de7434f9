package main

import (
	"context"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonshift/lagoonshift/internal/operatorcli"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
	"github.com/lagoonshift/lagoonshift/platform"
)

// adminFlags are the flags of all commands that call the administration API.
type adminFlags struct {
	urls      []string
	token     string
	authority string
}

func (f *adminFlags) add(c *kingpin.CmdClause) {
	c.Flag("admin", "Base URL of a control process's administration API; may be given several times.").Required().StringsVar(&f.urls)
	c.Flag("token-file", "File with the operator's token.").Required().StringVar(&f.token)
	addAuthority(c, &f.authority)
}

func (f *adminFlags) client() (*adminhttp.Client, error) {
	token, err := operatorcli.ReadToken(f.token)
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(f.authority)
	if err != nil {
		return nil, err
	}
	return adminhttp.NewClient(adminhttp.ClientOptions{
		BaseURLs: f.urls,
		Token:    token,
		HTTP:     &http.Client{Transport: transport},
	}), nil
}

// withClient returns a command that calls do with a client made from the flags.
func (f *adminFlags) withClient(do func(ctx context.Context, client *adminhttp.Client) error) command {
	return func(ctx context.Context) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		return do(ctx, client)
	}
}

func addConfig(app *kingpin.Application, commands map[string]command) {
	config := app.Command("config", "Read and change settings.")
	addConfigApply(config, commands)
	addConfigCheck(config, commands)
	addConfigHistory(config, commands)

	flags := &adminFlags{}
	flags.add(config.Command("get", "Print the settings as a file that apply accepts."))
	commands["config get"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		return operatorcli.Get(ctx, client, os.Stdout)
	})
	config.Command("token", "Generate an operator's token and print it with its hash.")
	commands["config token"] = func(context.Context) error { return operatorcli.NewToken(os.Stdout) }
}

func addConfigApply(config *kingpin.CmdClause, commands map[string]command) {
	clause := config.Command("apply", "Change the settings to the content of a file, in one change.")
	flags := &adminFlags{}
	flags.add(clause)
	o := operatorcli.ApplyOptions{Out: os.Stdout}
	clause.Arg("file", "Settings file, JSON with comments: subtrees by path.").Required().StringVar(&o.File)
	clause.Flag("deployment", "Deployment file whose zones the settings file is checked against.").StringVar(&o.Deployment)
	clause.Flag("number", "Change number, to send a change again; by default a new one.").Uint64Var(&o.Number)
	clause.Flag("prune", "Remove subtrees that are not in the file; operators are kept.").BoolVar(&o.Prune)
	clause.Flag("dry-run", "Only check the file and print what would change.").BoolVar(&o.DryRun)
	clause.Flag("wait", "Wait until the change is in force everywhere.").BoolVar(&o.Wait)
	clause.Flag("timeout", "Longest time for the whole command, with its unit.").Default("30s").DurationVar(&o.Timeout)
	commands["config apply"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		o.Client = client
		return operatorcli.Apply(ctx, o)
	})
}

func addConfigCheck(config *kingpin.CmdClause, commands map[string]command) {
	clause := config.Command("check", "Check a settings file, or a document of the users' platform, before it is sent. The exit code is 0 if it is fine, 1 if there are warnings and 2 if it would be rejected.")
	o := operatorcli.CheckOptions{Out: os.Stdout, Document: platform.CheckDocument}
	clause.Arg("file", "Settings file or document.").Required().StringVar(&o.File)
	clause.Flag("against", "File with the configuration in force, of which the differences are listed.").StringVar(&o.Against)
	clause.Flag("format", "tree for settings by subtree, document for a document of the users' platform, auto to detect it by the content.").Default("auto").EnumVar(&o.Format, "auto", "tree", "document")
	clause.Flag("json", "Print one JSON object.").BoolVar(&o.JSON)
	clause.Flag("deployment", "Deployment file whose zones a settings file is checked against.").StringVar(&o.Deployment)
	clause.Flag("retry-budget", "Retries that a service may have for each request, such as 0.2, to compare a document's attempts with.").Default("-1").Float64Var(&o.RetryBudget)
	commands["config check"] = func(context.Context) error { return operatorcli.Check(o) }
}

func addConfigHistory(config *kingpin.CmdClause, commands map[string]command) {
	clause := config.Command("history", "List accepted changes, newest first.")
	flags := &adminFlags{}
	flags.add(clause)
	path := clause.Flag("path", "Only changes of this subtree, such as teams/desk.").String()
	limit := clause.Flag("limit", "Maximum number of changes.").Default("50").Int()
	commands["config history"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		return operatorcli.History(ctx, client, os.Stdout, *path, *limit)
	})
}

func addStatus(app *kingpin.Application, commands map[string]command) {
	flags := &adminFlags{}
	flags.add(app.Command("status", "Show replicas, entries, leases and the settings in force."))
	commands["status"] = flags.withClient(func(ctx context.Context, client *adminhttp.Client) error {
		return operatorcli.Status(ctx, client, os.Stdout)
	})
}
