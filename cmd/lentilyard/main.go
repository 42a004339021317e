// Command lentilyard is the entry VM daemon, the operators' client and the
// stand-ins of executors and workers, in one binary.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lentilyard/lentilyard/internal/client"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/idempotency"
)

// version is the release of this build.
const version = "0.1.0"

// Exit codes of the client commands.
const (
	exitRefused     = 1 // refused or failed, nothing was carried out
	exitUsage       = 2 // wrong command line or file
	exitUnknown     = 3 // the outcome is unknown; repeat the command
	exitUnreachable = 4 // no entry VM could be reached
	exitTaskFailed  = 5 // a wait ended with a task that did not finish
)

// errTaskNotFinished is returned by a wait whose task ended without finishing.
var errTaskNotFinished = errors.New("the task did not finish")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	app := kingpin.New("lentilyard", "Schedules latency-critical requests and batch tasks that share VMs.")
	app.HelpFlag.Short('h')
	options := addGlobalFlags(app)
	addServe(app)
	addFleet(app)
	addSettings(app)
	addRepair(app)
	addCredentials(app)
	addNotes(app, options)
	addContracts(app, options)
	addTasks(app, options)
	addTargets(app, options)
	addStatus(app, options)
	addStandIns(app)
	app.Command("version", "Print the version.").Action(func(*kingpin.ParseContext) error {
		fmt.Println("lentilyard", version)
		return nil
	})
	app.Command("key", "Print a new idempotency key.").Action(func(*kingpin.ParseContext) error {
		fmt.Println(idempotency.NewKey(time.Now()))
		return nil
	})
	commandContext = ctx
	app.Terminate(func(status int) { os.Exit(status) })
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "lentilyard:", err)
		return exitCode(err)
	}
	return 0
}

// commandContext ends when the process is asked to stop. kingpin actions take no context.
var commandContext context.Context

func exitCode(err error) int {
	var refused *errs.Error
	switch {
	case errors.Is(err, errTaskNotFinished):
		return exitTaskFailed
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &refused) && refused.Outcome == errs.OutcomeUnknown:
		return exitUnknown
	case errors.As(err, &refused):
		return exitRefused
	default:
		return exitUsage
	}
}
