// Package command implements the operators' command line: it sends requests to any instance of a cell and prints the
// replies as text or as JSON. All values live only as long as one invocation.
package command

import "time"

type planArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"JSON file that states the intent; - reads standard input"`
}

type planIDArgs struct {
	ID string `arg:"positional,required" placeholder:"PLAN" help:"id of the plan, as printed by plan"`
}

type intentIDArgs struct {
	ID string `arg:"positional,required" placeholder:"INTENT" help:"id of the intent, as printed by confirm"`
}

type statusArgs struct {
	intentIDArgs
	All bool `arg:"--all" help:"list every task instead of the first ones"`
}

type explainArgs struct {
	intentIDArgs
	Task string `arg:"positional" placeholder:"TASK" help:"one task, as listed by status; by default the tasks that have not ended"`
}

type callArgs struct {
	intentIDArgs
	Payload string `arg:"positional" placeholder:"PAYLOAD" help:"text that is passed to the task"`
	Ticket  string `arg:"--ticket" help:"ticket to use; by default a new one is fetched"`
	Key     string `arg:"--key" help:"Idempotency-Key to use instead of a ticket"`
}

type ticketsArgs struct {
	intentIDArgs
	Count int `arg:"positional" placeholder:"COUNT" default:"10" help:"number of tickets"`
}

type dumpArgs struct {
	Limit int `arg:"--limit" default:"200" help:"largest number of entries in each list"`
}

type whereArgs struct {
	File  string `arg:"positional,required" placeholder:"FILE" help:"JSON file with a job as callers submit it; - reads standard input"`
	Queue string `arg:"--queue,required" help:"name of the queue"`
	Team  string `arg:"--team" help:"name of the team that would submit the job"`
}

type validateArgs struct {
	File   string `arg:"positional,required" placeholder:"FILE" help:"JSON file to check; nothing is sent"`
	Intent bool   `arg:"--intent" help:"the file states an intent, not settings"`
	Config bool   `arg:"--config" help:"the file is a configuration of the cell, not settings"`
}

type traceArgs struct {
	Job   string   `arg:"positional,required" placeholder:"JOB" help:"id of the job"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of instances; - or none reads standard input"`
}

type noArgs struct{}

type demoArgs struct {
	History string `arg:"--history" placeholder:"FILE" help:"write what callers and workers observe to FILE, as JSON lines"`
}

type configArgs struct {
	Show    *noArgs     `arg:"subcommand:show" help:"show the configuration in force on the instance asked"`
	Plan    *planArgs   `arg:"subcommand:plan" help:"show what a configuration document would change; nothing changes"`
	Confirm *planIDArgs `arg:"subcommand:confirm" help:"put a planned configuration in force"`
	Status  *noArgs     `arg:"subcommand:status" help:"show whether the configuration is in force everywhere"`
}

type arguments struct {
	Plan     *planArgs     `arg:"subcommand:plan" help:"state an intent and show what would run where; nothing changes"`
	Confirm  *planIDArgs   `arg:"subcommand:confirm" help:"make a plan run"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show an intent and its tasks"`
	Explain  *explainArgs  `arg:"subcommand:explain" help:"show why tasks wait or run where they do"`
	Cancel   *intentIDArgs `arg:"subcommand:cancel" help:"end an intent: waiting tasks never start, running ones are stopped"`
	Call     *callArgs     `arg:"subcommand:call" help:"run one call of a confirmed intent of kind call"`
	Tickets  *ticketsArgs  `arg:"subcommand:tickets" help:"fetch tickets, each of which runs one call at most once"`
	Config   *configArgs   `arg:"subcommand:config" help:"show, plan and confirm the configuration of the cell"`
	Dump     *dumpArgs     `arg:"subcommand:dump" help:"show the state of the instance asked, as JSON"`
	Trace    *traceArgs    `arg:"subcommand:trace" help:"print what the logs of several instances say about a job, in the order of time"`
	Where    *whereArgs    `arg:"subcommand:where" help:"show where the tasks of a job would start now on a cell, and why not elsewhere; nothing is sent to workers. --url is the metrics address of the leader"`
	Validate *validateArgs `arg:"subcommand:validate" help:"check a file of settings, an intent or a configuration without sending it"`
	Demo     *demoArgs     `arg:"subcommand:demo" help:"run both example deployments in this process; needs nothing else"`

	URL     []string      `arg:"--url,separate,env:LENTILTIDE_URL" placeholder:"URL" help:"base URL of an instance; may be repeated, the next is asked when one cannot be reached [default: http://127.0.0.1:7411]"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"time until the command gives up"`
	JSON    bool          `arg:"--json" help:"print JSON, errors too"`
}

// Description returns the description in the help text; go-arg calls it.
func (arguments) Description() string {
	return `lentiltide plans, confirms and follows work on a lentiltide cell.

An intent is a JSON file that describes work. "plan" shows what would run and what it displaces;
"confirm" runs exactly that plan. To try the scheduler without any setup: lentiltide demo`
}

// Epilogue returns the end of the help text; go-arg calls it.
func (arguments) Epilogue() string {
	return `Exit codes: 0 done; 1 the demo found a fault; 2 wrong command line; 3 the request did not run;
4 it may have run, check the status; 5 it ran and failed.`
}

// Exit codes. Each verdict on a failed request has its own code, so that scripts can tell them apart.
const (
	exitOK         = 0
	exitDemoFault  = 1
	exitUsage      = 2
	exitNotRun     = 3
	exitMayHaveRun = 4
	exitFailed     = 5
)
