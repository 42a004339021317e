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
	"github.com/lentilyard/lentilyard/internal/intake"
	"github.com/lentilyard/lentilyard/internal/logging"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/settings"
	"github.com/lentilyard/lentilyard/platform"
)

const (
	// balancerNotices is the time until the platform's balancer has noticed that a VM is not ready: two probes a second
	// apart and one on its way.
	balancerNotices = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the end of the process.
	exitMargin = 700 * time.Millisecond
	// settingsInterval is the time between two looks at the settings file.
	settingsInterval = 2 * time.Second
)

func addFleet(app *kingpin.Application) {
	for _, c := range []struct {
		name, help string
		run        func(context.Context, string, *pb.FleetSettings, zerolog.Logger) error
	}{
		{"intake", "Run an intake VM: it takes submissions of callers and holds no state.", runIntake},
		{"control", "Run a control VM: it holds the state of submissions and calls the workers.", runControl},
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

// followSettings calls apply with the settings at a SIGHUP and whenever the file has changed. Settings that cannot be
// read are logged and left out.
func followSettings(ctx context.Context, file string, log zerolog.Logger, apply func(*pb.FleetSettings)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen := modified(file)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if modified(file).Equal(seen) {
				continue
			}
			reason = "file-changed"
		}
		seen = modified(file)
		loaded, err := settings.LoadFleet(file)
		if err != nil {
			log.Error().Str("event", "reload").Str("reason", reason).Err(err).Msg("the settings stay as they were")
			continue
		}
		log.Info().Str("event", "reload").Str("reason", reason).Strs("seeds", loaded.GetSeeds()).Msg("")
		apply(loaded)
	}
}

// modified returns the time of the last change, or the zero time if the file cannot be read, which LoadFleet reports.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// serveMetrics serves metrics if an address is set. A failure ends only the metrics.
func serveMetrics(address string, log zerolog.Logger) {
	if address == "" {
		return
	}
	server, err := fleet.Listen("listen.metrics", address, fleet.MetricsHandler(), log)
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
	in, err := intake.New(s, log)
	if err != nil {
		return err
	}
	defer in.Close()
	var draining atomic.Bool
	ready, err := fleet.Listen("listen.ready", s.GetListen().GetReady(), platform.ReadyHandler(func() bool { return !draining.Load() && in.Ready() }), log)
	if err != nil {
		return err
	}
	front, err := fleet.Listen("listen.callers", s.GetListen().GetCallers(), platform.CallersHandler(in, log), log)
	if err != nil {
		return err
	}
	served := make(chan error, 2)
	go func() { served <- ready.Run() }()
	go func() { served <- front.Run() }()
	serveMetrics(s.GetListen().GetMetrics(), log)
	go followSettings(ctx, file, log, func(s *pb.FleetSettings) { in.AddSeeds(fleet.SeedVMs(s)) })
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	grace := s.GetBounds().GetGrace().AsDuration()
	draining.Store(true)
	log.Info().Str("event", "draining").Dur("grace_ms", grace).Msg("")
	time.Sleep(min(balancerNotices, grace/2))
	front.Finish(grace-min(balancerNotices, grace/2)-exitMargin, log)
	ready.Finish(exitMargin/2, log)
	return nil
}

func runControl(ctx context.Context, file string, s *pb.FleetSettings, log zerolog.Logger) error {
	workers := platform.NewWorkers()
	defer workers.Close()
	c, err := control.New(control.Options{Settings: s, Caller: workers, Logger: log,
		Adviser: platform.NewPolicyClient(s.GetAdviceAddress()), Platform: platform.NewMachineClient(s.GetPlatform().GetAddress())})
	if err != nil {
		return err
	}
	defer func() {
		if err := c.Close(); err != nil {
			log.Warn().Str("event", "close").Err(err).Msg("")
		}
	}()
	handler, err := platform.ControlHandler(c, s.GetListen().GetControl(), log)
	if err != nil {
		return err
	}
	server, err := fleet.Listen("listen.control", s.GetListen().GetControl(), handler, log)
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- server.Run() }()
	serveMetrics(s.GetListen().GetMetrics(), log)
	go followSettings(ctx, file, log, func(s *pb.FleetSettings) { c.AddSeeds(fleet.SeedVMs(s)) })
	select {
	case err := <-served:
		return err
	case err := <-c.Fatal():
		return err
	case <-ctx.Done():
	}
	grace := s.GetBounds().GetGrace().AsDuration()
	log.Info().Str("event", "draining").Dur("grace_ms", grace).Msg("")
	leaving, cancel := context.WithTimeout(context.Background(), grace/4)
	c.TransferLeadership(leaving)
	cancel()
	server.Finish(grace/2, log)
	return nil
}
