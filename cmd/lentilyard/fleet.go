package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/control"
	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/httplimit"
	"github.com/lentilyard/lentilyard/internal/intake"
	"github.com/lentilyard/lentilyard/internal/logging"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/settings"
	"github.com/lentilyard/lentilyard/platform"
)

const (
	// balancerProbeDelay is the time that the platform's load balancer needs to notice that a VM is not ready: two probes at
	// an interval of one second, and one probe that may be in flight.
	balancerProbeDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 700 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is checked for changes.
	settingsPollInterval = 2 * time.Second
)

func addFleet(app *kingpin.Application) {
	for _, c := range []struct {
		name, help string
		run        func(context.Context, string, *pb.FleetSettings, zerolog.Logger) error
	}{
		{"intake", "Run an intake VM, which accepts submissions from callers and holds no state.", runIntake},
		{"control", "Run a control VM, which holds the state of submissions and calls the workers.", runControl},
	} {
		command := app.Command(c.name, c.help)
		file := command.Flag("settings", "Settings file in YAML.").Short('s').Required().String()
		check := command.Flag("check", "Check the settings and exit.").Bool()
		command.Action(func(*kingpin.ParseContext) error {
			loaded, err := settings.LoadFleet(*file)
			if err != nil {
				return err
			}
			if *check {
				if err := fleet.Validate(loaded, c.name == "control"); err != nil {
					return err
				}
				fmt.Printf("%s: settings of %s VM %s are valid\n", *file, c.name, loaded.GetId())
				return nil
			}
			sink := logging.NewSink(os.Stdout, 0)
			defer sink.Close()
			log := logging.New(sink, loaded.GetLogLevel())
			log.Info().Str("event", "start").Str("role", c.name).Str("version", version).Str("vm", loaded.GetId()).
				Str("failure_domain", loaded.GetFailureDomain()).Strs("seeds", loaded.GetSeeds()).Bool("first_start", loaded.GetFirstStart()).Msg("")
			err = c.run(commandContext, *file, loaded, log)
			log.Info().Str("event", "stop").Str("role", c.name).AnErr("error", err).Msg("")
			return err
		})
	}
}

// watchSettings loads the settings and passes them to apply on every SIGHUP and whenever the file has changed, until ctx
// ends. If the settings cannot be loaded, it logs the error and keeps the current ones.
func watchSettings(ctx context.Context, file string, log zerolog.Logger, apply func(*pb.FleetSettings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loadedAt := modTime(file)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if modTime(file).Equal(loadedAt) {
				continue
			}
			reason = "file-changed"
		}
		loadedAt = modTime(file)
		loaded, err := settings.LoadFleet(file)
		if err != nil {
			log.Error().Str("event", "reload").Str("reason", reason).Err(err).Msg("cannot load the settings; the current settings stay in use")
			continue
		}
		log.Info().Str("event", "reload").Str("reason", reason).Strs("seeds", loaded.GetSeeds()).Msg("")
		apply(loaded)
	}
}

// modTime returns the modification time of the file. If it cannot be determined, modTime returns the zero time and leaves
// the error to LoadFleet.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// serveMetrics serves metrics in the background if an address is set. It logs errors, which do not stop the process.
func serveMetrics(address string, limits httplimit.Limits, log zerolog.Logger) {
	if address == "" {
		return
	}
	server, err := fleet.Listen("listen.metrics", address, fleet.MetricsHandler(), limits, log)
	if err != nil {
		log.Warn().Str("event", "no-metrics").Err(err).Msg("")
		return
	}
	go func() {
		if err := server.Run(); err != nil {
			log.Warn().Str("event", "no-metrics").Err(err).Msg("")
		}
	}()
}

func runIntake(ctx context.Context, file string, s *pb.FleetSettings, log zerolog.Logger) error {
	workers := platform.NewWorkers(log)
	defer workers.Close()
	node, err := intake.New(s, workers, log)
	if err != nil {
		return err
	}
	defer node.Close()
	var draining atomic.Bool
	limits := fleet.ClientLimits(s, false)
	ready := func() bool { return !draining.Load() && node.Ready() }
	readiness, err := fleet.Listen("listen.ready", s.GetListen().GetReady(), platform.ReadyHandler(ready), limits.Small(), log)
	if err != nil {
		return err
	}
	callers, err := fleet.Listen("listen.callers", s.GetListen().GetCallers(), platform.CallersHandler(node, log), limits, log)
	if err != nil {
		return err
	}
	served := make(chan error, 2)
	go func() { served <- readiness.Run() }()
	go func() { served <- callers.Run() }()
	serveMetrics(s.GetListen().GetMetrics(), limits.Small(), log)
	go watchSettings(ctx, file, log, func(s *pb.FleetSettings) { node.AddSeeds(fleet.SeedVMs(s)) })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	grace := s.GetBounds().GetGrace().AsDuration()
	draining.Store(true)
	node.Drain()
	log.Info().Str("event", "draining").Dur("grace_ms", grace).Msg("")
	// Requests are still accepted until the load balancer has noticed that this VM is not ready.
	time.Sleep(min(balancerProbeDelay, grace/2))
	callers.Finish(grace-min(balancerProbeDelay, grace/2)-exitMargin, log)
	readiness.Finish(exitMargin/2, log)
	return nil
}

func runControl(ctx context.Context, file string, s *pb.FleetSettings, log zerolog.Logger) error {
	workers := platform.NewWorkers(log)
	defer workers.Close()
	c, err := control.New(control.Options{Settings: s, Caller: workers, Logger: log,
		Adviser: platform.NewPolicyClient(s.GetAdviceAddress(), log), Platform: platform.NewMachineClient(s.GetPlatform().GetAddress(), log)})
	if err != nil {
		return err
	}
	defer func() {
		if err := c.Close(); err != nil {
			log.Warn().Str("event", "close").Err(err).Msg("")
		}
	}()
	limits := fleet.ClientLimits(s, true)
	handler, err := platform.ControlHandler(c, s.GetListen().GetControl(), log)
	if err != nil {
		return err
	}
	server, err := fleet.Listen("listen.control", s.GetListen().GetControl(), handler, limits, log)
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- server.Run() }()
	serveMetrics(s.GetListen().GetMetrics(), limits.Small(), log)
	go watchSettings(ctx, file, log, func(s *pb.FleetSettings) { c.AddSeeds(fleet.SeedVMs(s)) })
	select {
	case err := <-served:
		return err
	case err := <-c.Fatal():
		return err
	case <-ctx.Done():
	}
	grace := s.GetBounds().GetGrace().AsDuration()
	log.Info().Str("event", "draining").Dur("grace_ms", grace).Msg("")
	transferCtx, cancel := context.WithTimeout(context.Background(), grace/4)
	c.TransferLeadership(transferCtx)
	cancel()
	server.Finish(grace/2, log)
	return nil
}
