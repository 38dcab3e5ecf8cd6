// Command lentiltide is the operators' command of the cluster scheduler.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/lentiltide/lentiltide/cmd/lentiltide/internal/demo"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/examples"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
)

// Exit codes tell verdicts apart.
const (
	exitNotRun     = 3
	exitMayHaveRun = 4
	exitFailed     = 5
)

type planCmd struct {
	File string `arg:"positional,required" help:"path of a JSON file that states the intent"`
}

type idCmd struct {
	ID string `arg:"positional,required" help:"id of a plan or an intent"`
}

type validateCmd struct {
	File string `arg:"positional,required" help:"path of a settings file"`
}

type dumpCmd struct{}

type demoCmd struct{}

type arguments struct {
	Plan     *planCmd     `arg:"subcommand:plan" help:"state an intent and show the plan; nothing changes"`
	Confirm  *idCmd       `arg:"subcommand:confirm" help:"make a plan run"`
	Cancel   *idCmd       `arg:"subcommand:cancel" help:"end an intent"`
	Status   *idCmd       `arg:"subcommand:status" help:"show an intent and its tasks"`
	Dump     *dumpCmd     `arg:"subcommand:dump" help:"show the state of one instance"`
	Validate *validateCmd `arg:"subcommand:validate" help:"check a settings file"`
	Demo     *demoCmd     `arg:"subcommand:demo" help:"run both example deployments in this process"`
	URL      string       `arg:"--url,env:LENTILTIDE_URL" default:"http://127.0.0.1:7411" help:"base URL of any instance"`
	JSON     bool         `arg:"--json" help:"print JSON"`
}

// Description implements the help text of go-arg.
func (arguments) Description() string {
	return "lentiltide states, confirms and follows work on a lentiltide cell."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stdout)
		os.Exit(1)
	}
	if err := run(context.Background(), args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lentiltide:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch verdict.Of(err) {
	case verdict.NotRun:
		return exitNotRun
	case verdict.MayHaveRun:
		return exitMayHaveRun
	default:
		return exitFailed
	}
}

func run(ctx context.Context, args arguments, out io.Writer) error {
	client := jsonhttp.NewClient(args.URL, nil)
	get := func(path string, result any) error {
		_, err := client.Do(ctx, "GET", path, nil, nil, result)
		return err
	}
	switch {
	case args.Demo != nil:
		return demo.Run(ctx, out, examples.Files, "karutehas", "crease-union")
	case args.Plan != nil:
		data, err := os.ReadFile(args.Plan.File)
		if err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "read intent")
		}
		var plan model.Plan
		if _, err := client.Do(ctx, "POST", "/v1/plans", nil, data, &plan); err != nil {
			return err
		}
		return show(out, args.JSON, plan, printPlan)
	case args.Confirm != nil:
		var in model.Intent
		if err := client.Post(ctx, "/v1/plans/"+args.Confirm.ID+"/confirm", struct{}{}, &in); err != nil {
			return err
		}
		return show(out, args.JSON, in, printIntent)
	case args.Cancel != nil:
		var in model.Intent
		if err := client.Post(ctx, "/v1/intents/"+args.Cancel.ID+"/cancel", struct{}{}, &in); err != nil {
			return err
		}
		return show(out, args.JSON, in, printIntent)
	case args.Status != nil:
		var s intent.Status
		if err := get("/v1/intents/"+args.Status.ID, &s); err != nil {
			return err
		}
		return show(out, args.JSON, s, printStatus)
	case args.Dump != nil:
		var d json.RawMessage
		if err := get("/v1/dump", &d); err != nil {
			return err
		}
		return show(out, true, d, nil)
	default:
		if _, err := settings.Load(args.Validate.File); err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "invalid settings")
		}
		fmt.Fprintln(out, "settings are valid")
		return nil
	}
}

// show prints a result as JSON or by its printer.
func show[T any](out io.Writer, asJSON bool, result T, print func(io.Writer, T)) error {
	if !asJSON {
		print(out, result)
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(result)
}

func printPlan(out io.Writer, p model.Plan) {
	fmt.Fprintf(out, "plan %s for %s/%s %q, valid until %s\n", p.ID, p.Spec.Account, p.Spec.Team, p.Spec.Name, p.ExpiresAt.Format("15:04:05"))
	for _, pl := range p.Placements {
		if pl.Waits {
			fmt.Fprintf(out, "  %s waits: %s\n", pl.Task, pl.Reason)
			continue
		}
		fmt.Fprintf(out, "  %s on %s (%s, %s): %s\n", pl.Task, pl.Worker, pl.Rack, pl.Zone, pl.Reason)
	}
	for _, d := range p.Displaces {
		fmt.Fprintf(out, "  displaces %s of team %s on %s: %s\n", d.Task, d.Team, d.Worker, d.Reason)
	}
	if len(p.Displaces) == 0 {
		fmt.Fprintln(out, "  displaces nothing")
	}
	fmt.Fprintf(out, "nothing has changed; to run it: lentiltide confirm %s\n", p.ID)
}

func printIntent(out io.Writer, in model.Intent) {
	fmt.Fprintf(out, "intent %s %q is %s\n", in.ID, in.Spec.Name, in.State)
}

func printStatus(out io.Writer, s intent.Status) {
	printIntent(out, s.Intent)
	for _, t := range s.Tasks {
		fmt.Fprintf(out, "  %s %s", t.ID, t.State)
		if t.Worker != "" {
			fmt.Fprintf(out, " on %s", t.Worker)
		}
		if t.Outcome != nil {
			fmt.Fprintf(out, " (%s)", t.Outcome.State)
		}
		fmt.Fprintln(out)
	}
}
