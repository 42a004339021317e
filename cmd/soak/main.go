// Command soak runs the real programs as processes on this machine, with emulated workers, callers and an operator. It
// injects faults and checks the guarantees of the system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/emulator"
)

// errBroken is returned if a run broke a guarantee.
var errBroken = errors.New("promises were broken; see the lines above and the logs of the run")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("soak", "Injects faults into a running deployment and checks its guarantees.")
	app.HelpFlag.Short('h')
	c := &commands{ctx: ctx}
	app.Flag("binary", "Program under test.").Default("target/lentilyard").StringVar(&c.binary)
	app.Flag("folder", "Folder for settings, state and logs.").Default(filepath.Join(os.TempDir(), "lentilyard-soak")).StringVar(&c.folder)
	app.Flag("controls", "Control VMs.").Default("3").IntVar(&c.size.Controls)
	app.Flag("intakes", "Intake VMs.").Default("2").IntVar(&c.size.Intakes)
	app.Flag("workers", "Workers.").Default("9").IntVar(&c.size.Workers)
	app.Flag("width", "Factor on the tasks of each step.").Default("1").IntVar(&c.size.Width)
	app.Flag("report-interval", "Time between two reports of a worker.").Default("400ms").DurationVar(&c.reportInterval)
	app.Flag("rate", "Submissions per second.").Default("12").Float64Var(&c.rate)
	app.Flag("crashing", "Share of submissions of which one task crashes each worker that starts it.").Default("0").Float64Var(&c.crashingShare)
	app.Flag("lasting", "Endless tasks of each queue that must run until the end.").Default("0").Uint32Var(&c.lastingTasks)
	app.Flag("max-lease", "Longest lease that workers accept.").Default("6s").DurationVar(&c.maxLease)
	app.Flag("only", "Kind of faults to inject; may be repeated. The default is all.").StringsVar(&c.kinds)
	app.Flag("length", "Time during which faults are injected.").Default("20s").DurationVar(&c.length)
	app.Flag("slot", "Second octet of the loopback addresses of the first run; concurrent runs need different ones.").Default("20").IntVar(&c.slot)
	seeds := app.Command("seeds", "Run seeds with faults and print a line for each.").Action(c.runSeeds)
	seeds.Flag("from", "First seed; 0 derives one from the current time.").Default("1").Uint64Var(&c.firstSeed)
	seeds.Flag("count", "Number of seeds.").Default("1").IntVar(&c.count)
	seeds.Flag("parallel", "Number of concurrent runs.").Default(fmt.Sprint(max(1, runtime.NumCPU()/3))).IntVar(&c.parallel)
	seeds.Flag("sabotage", "Break a guarantee on purpose, to verify that the checker detects it.").StringVar((*string)(&c.sabotage))
	experiment := app.Command("experiment", "Run one seed and write a report with plots.").Action(c.runExperiment)
	experiment.Flag("seed", "Seed of load and faults.").Default("1").Uint64Var(&c.firstSeed)
	experiment.Flag("direct", "Omit the proxies in front of workers, for runs with thousands of workers and no faults.").BoolVar(&c.direct)
	experiment.Flag("faults", "Inject faults.").BoolVar(&c.faults)
	experiment.Flag("report", "File of the report.").Default("report.html").StringVar(&c.report)
	plan := app.Command("plan", "Print the faults of a seed.").Action(c.printPlan)
	plan.Flag("seed", "Seed.").Default("1").Uint64Var(&c.firstSeed)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// commands holds the flags of all commands.
type commands struct {
	ctx             context.Context
	binary, folder  string
	size            emulator.Size
	rate            float64
	crashingShare   float64
	lastingTasks    uint32
	maxLease        time.Duration
	kinds           []string
	reportInterval  time.Duration
	length          time.Duration
	firstSeed       uint64
	count, parallel int
	sabotage        emulator.Sabotage
	faults, direct  bool
	slot            int
	report          string
}

// newRun returns the run of a seed, with an empty folder. Concurrent runs need different slots.
func (c *commands) newRun(seed uint64, slot int) (*emulator.Run, error) {
	folder := filepath.Join(c.folder, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(folder); err != nil {
		return nil, fmt.Errorf("clear the folder of an earlier run: %w", err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create the folder of the run: %w", err)
	}
	log, err := os.Create(filepath.Join(folder, "soak.log"))
	if err != nil {
		return nil, fmt.Errorf("create the log of the run: %w", err)
	}
	return &emulator.Run{Seed: seed, Length: c.length, Faults: c.plan(seed), Log: zerolog.New(log).With().Timestamp().Logger(),
		Options: emulator.Options{Binary: c.binary, Folder: folder, Slot: slot, Size: c.size, Rate: c.rate, ReportInterval: c.reportInterval, Direct: c.direct, CrashingShare: c.crashingShare, LastingTasks: c.lastingTasks,
			MaxLease: c.maxLease, Sabotage: c.sabotage}}, nil
}

func (c *commands) runSeeds(*kingpin.ParseContext) error {
	if c.firstSeed == 0 {
		c.firstSeed = uint64(time.Now().Unix())
	}
	slots := make(chan int, c.parallel)
	for i := range c.parallel {
		slots <- c.slot + i
	}
	pool := pond.NewPool(c.parallel)
	var broken atomic.Int64
	for i := range c.count {
		pool.Submit(func() {
			slot := <-slots
			defer func() { slots <- slot }()
			if err := c.runSeed(c.firstSeed+uint64(i), slot); err != nil {
				broken.Add(1)
			}
		})
	}
	pool.StopAndWait()
	if n := broken.Load(); n > 0 {
		return fmt.Errorf("%d of %d seeds: %w", n, c.count, errBroken)
	}
	return nil
}

// runSeed runs a seed and prints its line and its violations.
func (c *commands) runSeed(seed uint64, slot int) error {
	run, err := c.newRun(seed, slot)
	if err != nil {
		return err
	}
	result, err := run.Execute(c.ctx)
	if err != nil {
		fmt.Printf("seed=%d error=%q\n", seed, err)
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	s := result.Stats
	fmt.Printf("seed=%d broken=%d faults=%d submitted=%d accepted=%d refused=%d done=%d cancelled=%d starts=%d finished=%d failed=%d stopped=%d lost=%d configs=%d ready=%.1fs finished_after=%.1fs\n",
		seed, len(result.Violations), len(result.Faults), s.Submitted, s.Accepted, s.Refused, s.Done, s.Cancelled, s.Starts, s.Finished, s.Failed, s.Stopped, s.Lost,
		s.Configs, result.Ready.Seconds(), result.Finished.Seconds())
	for _, v := range result.Violations {
		fmt.Printf("seed=%d %v\n", seed, v)
	}
	if len(result.Violations) > 0 {
		return fmt.Errorf("seed %d: %w", seed, errBroken)
	}
	return nil
}

func (c *commands) runExperiment(*kingpin.ParseContext) error {
	run, err := c.newRun(c.firstSeed, c.slot)
	if err != nil {
		return err
	}
	if !c.faults {
		run.Faults = []emulator.Fault{}
	}
	result, err := run.Execute(c.ctx)
	if err != nil {
		return err
	}
	file, err := os.Create(c.report)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	defer file.Close()
	if err := emulator.WriteReport(file, run.Options, result); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	fmt.Printf("%s: %d promises broken, median until the first start %v, 99%% %v\n", c.report, len(result.Violations),
		emulator.Quantile(result.Series.Start, 0.5), emulator.Quantile(result.Series.Start, 0.99))
	if len(result.Violations) > 0 {
		return errBroken
	}
	return nil
}

// plan returns the faults of a seed that are of the chosen kinds.
func (c *commands) plan(seed uint64) []emulator.Fault {
	plan := emulator.Plan(seed, c.size, c.length)
	if len(c.kinds) == 0 {
		return plan
	}
	return slices.DeleteFunc(plan, func(f emulator.Fault) bool { return !slices.Contains(c.kinds, string(f.Kind)) })
}

func (c *commands) printPlan(*kingpin.ParseContext) error {
	for _, f := range c.plan(c.firstSeed) {
		fmt.Println(f)
	}
	return nil
}
