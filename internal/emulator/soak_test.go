package emulator

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// binary is the program under test, built once.
var binary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "lentilyard-emulator-")
	if err != nil {
		return "", err
	}
	file := filepath.Join(folder, "lentilyard")
	out, err := exec.Command("go", "build", "-o", file, "github.com/lentilyard/lentilyard/cmd/lentilyard").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return file, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if file, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(file))
	}
	os.Exit(code)
}

// slots bounds the number of concurrent deployments.
var slots = make(chan struct{}, 3)

// runDeployment executes a run in a small deployment. Each call needs a slot of its own.
func runDeployment(t *testing.T, slot int, r Run) *Result {
	t.Helper()
	slots <- struct{}{}
	defer func() { <-slots }()
	file, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	folder, err := os.MkdirTemp(r.Folder, "lentilyard-soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() { // keeps the logs of failed runs for debugging
			_ = os.RemoveAll(folder)
		}
	})
	r.Options.Binary, r.Folder, r.Slot = file, folder, slot
	r.Size, r.Rate, r.Log = Size{Controls: 3, Intakes: 2, Workers: 9}, 15, zerolog.Nop()
	result, err := r.Execute(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// regressions lists faults that once broke a guarantee, with the cause. Some repeat the fault of the original plan more often.
var regressions = []struct {
	name, cause string
	seed        uint64
	faults      []Fault
	lasting     uint32 // Options.LastingTasks
}{
	{"reuse", "a worker that restarted under the same id carried out a start meant for its former incarnation (once)", 16, frequentReuse(), 0},
	{"full-disks", "a control VM whose disk was full for a moment exited, again and again (runs)", 1, fullDisksInSeries(), 0},
	{"left-behind-cut", "workers that had left and were back behind a cut were not called again (kept)", 1, leftBehindCut(), 0},
	{"left-behind-refusal", "tasks of workers that had reported their leave and ran on started elsewhere since connections were refused (once)", 1, leftBehindRefusal(), 6},
	{"stop-without-leader", "an intake VM that was stopped while there was no leader interrupted the requests that waited for one (answered)", 43, faultsWithin(43, 9*time.Second), 0},
}

// faultsWithin returns the faults of a 25 s plan that start within the given time.
func faultsWithin(seed uint64, within time.Duration) []Fault {
	plan := Plan(seed, Size{Controls: 3, Intakes: 2, Workers: 9}, 25*time.Second)
	return slices.DeleteFunc(plan, func(f Fault) bool { return f.At > within })
}

// frequentReuse returns a plan in which a worker restarts under the same id every 200 ms.
func frequentReuse() []Fault {
	var faults []Fault
	for i := range 36 {
		faults = append(faults, Fault{Kind: FaultReuseWorker, At: time.Second + time.Duration(i)*200*time.Millisecond, Duration: 2 * time.Second, Subject: i * 4 % 9})
	}
	return faults
}

// fullDisksInSeries returns a plan in which the disks of the control VMs are full for one second each, one after another.
func fullDisksInSeries() []Fault {
	var faults []Fault
	for i := range 6 {
		faults = append(faults, Fault{Kind: FaultDiskFull, At: time.Second + time.Duration(i)*1200*time.Millisecond, Duration: time.Second, Subject: i % 3})
	}
	return faults
}

// leftBehindCut returns a plan in which all workers leave, are cut off from the control VMs until the end, and are back under their ids after 1.5 s.
func leftBehindCut() []Fault {
	return []Fault{{Kind: FaultLeaveCut, At: 4 * time.Second, Duration: time.Second, Other: 213*9 + 8}}
}

// leftBehindRefusal returns a plan in which a third of the workers after the other reports its leave behind a partition that refuses connections,
// and works on for 4 s.
func leftBehindRefusal() []Fault {
	var faults []Fault
	for i := range 3 {
		faults = append(faults, Fault{Kind: FaultLeaveRefused, At: time.Duration(2+i) * time.Second, Subject: 3 * i, Other: 308*9 + 2})
	}
	return faults
}

// Guards against guarantees that break under the faults of short plans.
func TestSoak(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runAndCheck(t, 100+int(seed), Run{Seed: seed, Length: 8 * time.Second})
		})
	}
	for i, r := range regressions {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			t.Log(r.cause)
			runAndCheck(t, 120+i, Run{Seed: r.seed, Length: 9 * time.Second, Faults: r.faults, Options: Options{LastingTasks: r.lasting}})
		})
	}
}

func runAndCheck(t *testing.T, slot int, r Run) {
	result := runDeployment(t, slot, r)
	for _, v := range result.Violations {
		t.Error(v)
	}
	t.Logf("%+v", result.Stats)
}

// cutPlans lists faults that cut workers off from the control VMs.
var cutPlans = []struct {
	name   string
	faults []Fault
}{
	{"longer-than-a-lease", []Fault{cutFault(time.Second, cut{count: 6})}},
	{"answers-lost-until-the-end", []Fault{cutFault(time.Second, cut{count: 9, answersLost: true, untilEnd: true})}},
	{"leaders-replaced", append([]Fault{cutFault(time.Second, cut{count: 9, untilEnd: true}),
		{Kind: FaultKillControls, At: 2 * time.Second, Duration: 2 * time.Second}}, pausesInTurn(4*time.Second)...)},
}

var smallSize = Size{Controls: 3, Intakes: 2, Workers: 9}

func cutFault(at time.Duration, c cut) Fault {
	return Fault{Kind: FaultCutWorkers, At: at, Duration: defaultMaxLease + 2*time.Second, Subject: c.first, Other: c.other(smallSize)}
}

// pausesInTurn returns a plan in which each control VM is suspended for a while, one after another.
func pausesInTurn(from time.Duration) []Fault {
	var faults []Fault
	for i := range smallSize.Controls {
		faults = append(faults, Fault{Kind: FaultPause, At: from + time.Duration(i)*2*time.Second, Duration: 1500 * time.Millisecond, Subject: i})
	}
	return faults
}

// memoryFolder returns a folder in memory, or "" if there is none.
func memoryFolder() string {
	const folder = "/dev/shm"
	if _, err := os.Stat(folder); err != nil {
		return ""
	}
	return folder
}

// Guards against tasks that lose their leases, or are not started, on workers that intake VMs reach and control VMs do not. The
// deployments run one at a time and keep their state in memory: beside other writers a sync may take as long as a lease.
func TestWorkersCutOffFromControlVMs(t *testing.T) {
	for i, c := range cutPlans {
		t.Run(c.name, func(t *testing.T) {
			runAndCheck(t, 140+i, Run{Seed: 1, Length: 11 * time.Second, Faults: c.faults, Options: Options{Folder: memoryFolder(), LastingTasks: 2}})
		})
	}
}

// Guards against a task that is started without end although each worker that starts it crashes.
func TestTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	t.Parallel()
	runAndCheck(t, 130, Run{Seed: 1, Length: 18 * time.Second, Faults: []Fault{}, Options: Options{CrashingShare: 0.02}})
}

// Guards against a checker that misses a broken guarantee: each guarantee is broken once on purpose.
func TestCheckerDetectsSabotage(t *testing.T) {
	for i, c := range []struct {
		sabotage Sabotage
		promise  Promise
	}{
		{SabotageOnce, PromiseOnce}, {SabotageOrder, PromiseOrder}, {SabotageState, PromiseState}, {SabotageBudget, PromiseBudget},
		{SabotageCrashes, PromiseCrashes},
		{SabotageAsked, PromiseAsked}, {SabotagePlace, PromisePlace}, {SabotageShrink, PromisePlace}, {SabotageRefused, PromiseRefused}, {SabotageCancelled, PromiseCancelled},
		{SabotageKept, PromiseKept}, {SabotageHeld, PromiseHeld}, {SabotageConfig, PromiseConfig}, {SabotageAnswered, PromiseAnswered}, {SabotageRuns, PromiseRuns},
		{SabotageReady, PromiseReady},
	} {
		t.Run(string(c.sabotage), func(t *testing.T) {
			t.Parallel()
			options := Options{Sabotage: c.sabotage}
			switch c.sabotage {
			case SabotageCrashes:
				options.CrashingShare = 0.2
			case SabotageHeld:
				options.LastingTasks = 1
			}
			result := runDeployment(t, 60+i, Run{Seed: 1, Length: 5 * time.Second, Faults: []Fault{}, FinishBound: 3 * time.Second, Options: options})
			found := map[Promise]bool{}
			for _, v := range result.Violations {
				found[v.Promise] = true
			}
			if !found[c.promise] {
				t.Errorf("sabotage %q broke %v, not %s: %+v", c.sabotage, found, c.promise, result.Stats)
			}
		})
	}
}

// Guards against false violations in a deployment without faults.
func TestNoViolationsWithoutFaults(t *testing.T) {
	t.Parallel()
	result := runDeployment(t, 90, Run{Seed: 1, Length: 4 * time.Second, Faults: []Fault{}})
	for _, v := range result.Violations {
		t.Error(v)
	}
	is := is.New(t)
	is.True(result.Stats.Done > 0)
	is.Equal(result.Stats.Lost, 0)
	var page strings.Builder
	is.NoErr(WriteReport(&page, Options{}, result))
	is.True(strings.Count(page.String(), "<svg") == 2)
}

// Guards against a plan that differs between runs of the same seed, wipes more disks than the settings tolerate, or never
// contains some kind of fault.
func TestPlan(t *testing.T) {
	is := is.New(t)
	size := Size{Controls: 3, Intakes: 2, Workers: 9}
	seen := map[FaultKind]bool{}
	for seed := range uint64(60) {
		plan := Plan(seed, size, 20*time.Second)
		is.Equal(plan, Plan(seed, size, 20*time.Second))
		wipes := 0
		for i, f := range plan {
			seen[f.Kind] = true
			if f.Kind == FaultWipe {
				wipes++
			}
			is.True(i == 0 || plan[i-1].At <= f.At)
		}
		is.True(wipes <= 1)
	}
	is.Equal(len(seen), len(faultWeights)+len(rareFaults))
}
