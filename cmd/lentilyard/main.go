// Command lentilyard runs the servers of the scheduler (entry VMs, intake VMs and control VMs), the command-line client for
// operators and callers, and the stand-ins for tests, which simulate executors and workers.
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

// version is the release version of this build.
const version = "0.1.0"

// Exit codes of the client commands.
const (
	exitRefused     = 1 // the request was rejected or failed without an effect
	exitUsage       = 2 // invalid command line or file, or any other error
	exitUnknown     = 3 // the outcome is unknown; repeat the command
	exitUnreachable = 4 // no entry VM could be reached
	exitTaskFailed  = 5 // the command waited for a task that failed, was cancelled or is unschedulable
)

// errTaskNotFinished means that the task that a command waited for ended without finishing.
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

// commandContext is cancelled on SIGINT and SIGTERM. It is a global variable because kingpin actions receive no context.
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
