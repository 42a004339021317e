package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/dev"
	"github.com/lentilyard/lentilyard/internal/logging"
	"github.com/lentilyard/lentilyard/internal/machine"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/replica"
	"github.com/lentilyard/lentilyard/internal/server"
	"github.com/lentilyard/lentilyard/internal/settings"
)

func addServe(app *kingpin.Application) {
	command := app.Command("serve", "Run an entry VM.")
	file := command.Flag("settings", "Settings file in YAML.").Short('s').String()
	devMode := command.Flag("dev", "Run one entry VM with simulated executors and workers in a single process, without a settings file.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		switch {
		case *devMode:
			return withLogger(&pb.LogSettings{}, func(logger zerolog.Logger) error {
				return dev.Run(commandContext, version, logger, os.Stdout)
			})
		case *file == "":
			return errors.New("serve needs --settings FILE or --dev")
		}
		return serve(commandContext, *file)
	})
}

func serve(ctx context.Context, file string) error {
	loaded, err := settings.Load(file)
	if err != nil {
		return err
	}
	machine.New(loaded.Limits.GetMemoryMb(), loaded.Limits.GetDescriptors()).LimitCollector()
	return withLogger(loaded.Log, func(logger zerolog.Logger) error {
		entryVM, err := server.New(server.Options{Settings: loaded, Version: version, Logger: logger})
		if err != nil {
			return err
		}
		return entryVM.Run(ctx)
	})
}

// withLogger calls f with a logger that writes to standard error. It flushes the log before it returns.
func withLogger(s *pb.LogSettings, f func(zerolog.Logger) error) error {
	sink := logging.NewSink(os.Stderr, 0)
	defer sink.Close()
	if s.GetDecisions() == "off" {
		sink.OmitDecisions()
	}
	return f(logging.New(sink, s.GetLevel()))
}

func addSettings(app *kingpin.Application) {
	parent := app.Command("settings", "Commands for settings.")
	command := parent.Command("check", "Check a settings file.")
	file := command.Arg("file", "Settings file in YAML.").Required().String()
	listen := command.Flag("listen", "Also check that the addresses to listen on are available.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		loaded, err := settings.Load(*file)
		if err != nil {
			return err
		}
		if *listen {
			if err := settings.CheckListen(loaded); err != nil {
				return err
			}
		}
		fmt.Printf("%s: settings of entry VM %s are valid\n", *file, loaded.Id)
		return nil
	})
}

func addRepair(app *kingpin.Application) {
	command := app.Command("repair", "Make this VM the only voter of a group that has lost its quorum permanently. All VMs of the group must be stopped.")
	vm := command.Flag("vm", "Id of this entry VM.").Required().String()
	folder := command.Flag("data-folder", "Data folder of this entry VM.").Required().ExistingDir()
	group := command.Flag("group", "Name of the group, as in 'lentilyard status'.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		result, err := replica.Repair(*vm, *folder, *group)
		if err != nil {
			return err
		}
		fmt.Printf("group %s continues from entry %d of term %d with %s as the only voter; previous voters: %v\n",
			*group, result.Index, result.Term, *vm, result.Previous)
		return nil
	})
}
