package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
	"github.com/lentilyard/lentilyard/internal/units"
)

func addStandIns(app *kingpin.Application) {
	parent := app.Command("stand-in", "Run a simulated target for tests.")
	addExecutorStandIn(parent)
	addWorkerStandIn(parent)
}

// standInFlags holds the flags that both stand-in commands share.
type standInFlags struct {
	id, domain, rack, token, tokenFile string
	entryVMs                           []string
}

func addStandInFlags(command *kingpin.CmdClause) *standInFlags {
	f := new(standInFlags)
	command.Flag("id", "Unique id of the target.").Required().StringVar(&f.id)
	command.Flag("domain", "Failure domain.").Required().StringVar(&f.domain)
	command.Flag("rack", "Rack.").Default("rack-1").StringVar(&f.rack)
	command.Flag("entry-vm", "HTTP address of an entry VM of the failure domain; may be repeated.").Required().StringsVar(&f.entryVMs)
	command.Flag("target-token", "Bearer token.").Envar("LENTILYARD_TARGET_TOKEN").StringVar(&f.token)
	command.Flag("target-token-file", "File that holds the bearer token.").StringVar(&f.tokenFile)
	return f
}

func addExecutorStandIn(parent *kingpin.CmdClause) {
	command := parent.Command("executor", "Run a simulated executor.")
	flags := addStandInFlags(command)
	options := standin.ExecutorOptions{}
	command.Flag("service", "Service that the executor provides.").Required().StringVar(&options.Service)
	command.Flag("listen", "Address (IP:port) for requests; default: any free port of 127.0.0.1.").StringVar(&options.Listen)
	command.Flag("slots", "Maximum number of concurrent requests.").Default("8").Uint32Var(&options.Slots)
	command.Flag("connections", "Maximum number of concurrent connections.").Default("64").Uint32Var(&options.Connections)
	command.Flag("work", "Duration of each request.").Default("0s").DurationVar(&options.Work)
	command.Action(func(*kingpin.ParseContext) error {
		token, err := readToken(flags.token, flags.tokenFile)
		if err != nil {
			return err
		}
		options.ID, options.Domain, options.Rack = flags.id, flags.domain, flags.rack
		options.EntryVMs, options.Token = flags.entryVMs, token
		return withLogger(&pb.LogSettings{}, func(logger zerolog.Logger) error {
			options.Logger = logger
			return standin.NewExecutor(options).Run(commandContext)
		})
	})
}

func addWorkerStandIn(parent *kingpin.CmdClause) {
	command := parent.Command("worker", "Run a simulated worker.")
	flags := addStandInFlags(command)
	capacity := new(pb.Resources)
	quantityVar(command, "cores", "CPU capacity.", "32 core", units.Processor, &capacity.Millicores)
	quantityVar(command, "memory", "Memory capacity.", "125 GB", units.Memory, &capacity.MemoryBytes)
	command.Flag("accelerators", "Number of accelerators.").Int64Var(&capacity.Accelerators)
	guards := command.Flag("guards", "Reject task starts that exceed the capacity.").Default("true").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		token, err := readToken(flags.token, flags.tokenFile)
		if err != nil {
			return err
		}
		return withLogger(&pb.LogSettings{}, func(logger zerolog.Logger) error {
			return standin.NewWorker(standin.WorkerOptions{
				ID: flags.id, FailureDomain: flags.domain, Rack: flags.rack, Capacity: capacity, Guards: *guards,
				EntryVMs: withScheme(flags.entryVMs), Token: token, Logger: logger,
			}).Run(commandContext)
		})
	})
}
