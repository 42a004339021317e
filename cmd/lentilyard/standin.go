package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
	"github.com/lentilyard/lentilyard/internal/units"
)

func addStandIns(app *kingpin.Application) {
	parent := app.Command("stand-in", "Run a stand-in of a target, for trials and tests.")
	addExecutorStandIn(parent)
	addWorkerStandIn(parent)
}

// standInFlags are common to both stand-ins.
type standInFlags struct {
	id, domain, rack, token, tokenFile string
	entryVMs                           []string
}

func addStandInFlags(command *kingpin.CmdClause) *standInFlags {
	f := new(standInFlags)
	command.Flag("id", "Unique name.").Required().StringVar(&f.id)
	command.Flag("domain", "Failure domain.").Required().StringVar(&f.domain)
	command.Flag("rack", "Rack.").Default("rack-1").StringVar(&f.rack)
	command.Flag("entry-vm", "HTTP address of an entry VM of the domain; may be repeated.").Required().StringsVar(&f.entryVMs)
	command.Flag("target-token", "Bearer token.").Envar("LENTILYARD_TARGET_TOKEN").StringVar(&f.token)
	command.Flag("target-token-file", "File that holds the bearer token.").StringVar(&f.tokenFile)
	return f
}

func addExecutorStandIn(parent *kingpin.CmdClause) {
	command := parent.Command("executor", "Run a stand-in executor.")
	flags := addStandInFlags(command)
	options := standin.ExecutorOptions{}
	command.Flag("service", "Service that it serves.").Required().StringVar(&options.Service)
	command.Flag("listen", "IP:port for requests; default: any free port of 127.0.0.1.").StringVar(&options.Listen)
	command.Flag("slots", "Requests at once.").Default("8").Uint32Var(&options.Slots)
	command.Flag("connections", "Connections at once.").Default("64").Uint32Var(&options.Connections)
	command.Flag("work", "Time that one request takes.").Default("0s").DurationVar(&options.Work)
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
	command := parent.Command("worker", "Run a stand-in worker.")
	flags := addStandInFlags(command)
	capacity := new(pb.Resources)
	quantityVar(command, "cores", "Processor.", "32 core", units.Processor, &capacity.Millicores)
	quantityVar(command, "memory", "Memory.", "125 GB", units.Memory, &capacity.MemoryBytes)
	command.Flag("accelerators", "Accelerators.").Int64Var(&capacity.Accelerators)
	guards := command.Flag("guards", "Refuse starts above the capacity.").Default("true").Bool()
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
