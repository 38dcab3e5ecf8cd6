package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/cmd/lentiltide/internal/demo"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/examples"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/strictjson"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/config"
)

// Streams are the standard input, output and error of the command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// defaultURL is the address of the first instance in examples/multi-process.
const defaultURL = "http://127.0.0.1:7411"

// Main runs the command line args, which excludes the program name, and returns the exit code.
func Main(ctx context.Context, args []string, streams Streams) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "lentiltide", Out: streams.Err}, &parsed)
	if err != nil {
		fmt.Fprintln(streams.Err, "lentiltide:", err)
		return exitUsage
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(streams.Out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(streams.Err, parser.SubcommandNames()...)
		fmt.Fprintln(streams.Err, "lentiltide:", err)
		return exitUsage
	case parser.Subcommand() == nil || parsed.Config != nil && *parsed.Config == configArgs{}:
		_ = parser.WriteHelpForSubcommand(streams.Err, parser.SubcommandNames()...)
		return exitUsage
	}
	if len(parsed.URL) == 0 {
		parsed.URL = []string{defaultURL}
	}
	c := &command{args: parsed, streams: streams}
	return c.reportError(c.run(ctx))
}

// command is one invocation of the command line.
type command struct {
	args    arguments
	streams Streams
}

// run executes the subcommand.
func (c *command) run(ctx context.Context) error {
	if c.args.Demo != nil {
		return c.demo(ctx, c.args.Demo.History)
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	switch a := c.args; {
	case a.Plan != nil:
		return c.plan(ctx, a.Plan.File)
	case a.Confirm != nil:
		return c.confirm(ctx, a.Confirm.ID)
	case a.Status != nil:
		return c.status(ctx, a.Status)
	case a.Explain != nil:
		return c.explain(ctx, a.Explain)
	case a.Cancel != nil:
		return c.cancel(ctx, a.Cancel.ID)
	case a.Call != nil:
		return c.call(ctx, a.Call)
	case a.Tickets != nil:
		return c.tickets(ctx, a.Tickets)
	case a.Config != nil:
		return c.config(ctx, a.Config)
	case a.Dump != nil:
		return c.dump(ctx, a.Dump.Limit)
	case a.Trace != nil:
		files := a.Trace.Files
		if len(files) == 0 {
			files = []string{"-"}
		}
		return c.trace(a.Trace.Job, files)
	case a.Where != nil:
		return c.where(ctx, a.Where)
	default:
		return c.validate(a.Validate)
	}
}

// demo runs both example deployments and writes their history to a file, or to none if its name is empty.
func (c *command) demo(ctx context.Context, file string) error {
	opts := demo.Options{Out: c.streams.Out, Files: examples.Files}
	if file == "" {
		return demo.Run(ctx, opts, demoDeployments...)
	}
	out, err := os.Create(file)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "create the history")
	}
	opts.History = history.NewRecorder(out, history.SinceNow(), "lentiltide demo")
	err = demo.Run(ctx, opts, demoDeployments...)
	if writeErr := errors.Join(opts.History.Close(), out.Close()); err == nil && writeErr != nil {
		err = verdict.Wrap(writeErr, verdict.Ran, verdict.CodeInternal, "write the history")
	}
	return err
}

// demoDeployments are the directories of the example deployments.
var demoDeployments = []string{"karutehas", "crease-union"}

// reportError prints err, if it is not nil, and returns the exit code.
func (c *command) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, demo.ErrFaults) {
		fmt.Fprintln(c.streams.Err, "lentiltide:", err)
		return exitDemoFault
	}
	if c.args.JSON {
		_ = c.printJSON(jsonhttp.NewErrorBody(err))
	} else {
		c.printError(verdict.From(err))
	}
	switch verdict.Of(err) {
	case verdict.NotRun:
		return exitNotRun
	case verdict.MayHaveRun:
		return exitMayHaveRun
	default:
		return exitFailed
	}
}

func (c *command) printJSON(value any) error {
	enc := json.NewEncoder(c.streams.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(value)
}

// printReply prints a reply as JSON if --json is set and with print otherwise.
func printReply[T any](c *command, reply T, print func(io.Writer, T)) error {
	if c.args.JSON {
		return c.printJSON(reply)
	}
	print(c.streams.Out, reply)
	return nil
}

// readInput reads a file, or standard input if name is "-", and trims surrounding white space.
func (c *command) readInput(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(c.streams.In)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "read input")
	}
	return bytes.TrimSpace(data), nil
}

// validate checks a file locally; nothing is sent.
func (c *command) validate(a *validateArgs) error {
	var err error
	message := "the settings are valid"
	switch {
	case a.Intent:
		err = c.validateIntent(a.File)
		message = "the intent is valid; plan shows whether it fits the cell"
	case a.Config:
		err = c.validateConfig(a.File)
		message = "the configuration is valid; config plan shows what it changes"
	default:
		err = validateSettings(a.File)
	}
	if err != nil {
		return err
	}
	return printReply(c, map[string]bool{"valid": true}, func(w io.Writer, _ map[string]bool) { fmt.Fprintln(w, message) })
}

func validateSettings(file string) error {
	_, err := settings.Load(file)
	var problems *settings.Error
	switch {
	case errors.As(err, &problems):
		return invalidFile("settings", problems.Problems)
	case err != nil:
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "settings")
	}
	return nil
}

func (c *command) validateIntent(file string) error {
	data, err := c.readInput(file)
	if err != nil {
		return err
	}
	var spec model.IntentSpec
	var problems []string
	for _, p := range strictjson.Decode(data, &spec) {
		problems = append(problems, p.String())
	}
	if len(problems) > 0 {
		return invalidFile("intent", problems)
	}
	return spec.Check()
}

func (c *command) validateConfig(file string) error {
	data, err := c.readInput(file)
	if err != nil {
		return err
	}
	_, err = config.Parse(data)
	return err
}

// invalidFile returns an error with the first problem as its message and all problems in its detail.
func invalidFile(kind string, problems []string) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s: %s", kind, problems[0]).
		WithDetail(map[string]any{"problems": problems})
}
