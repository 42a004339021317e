package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of fault or of planned operation.
type FaultKind string

// Kinds of faults. Faults of VMs affect control and intake VMs alike unless stated otherwise.
const (
	FaultKill              FaultKind = "kill"          // the process is killed and started again later
	FaultKillControls      FaultKind = "kill-controls" // all control VMs are killed at once
	FaultStop              FaultKind = "stop"          // the process is terminated gracefully and started again later
	FaultPause             FaultKind = "pause"         // the process is suspended
	FaultReload            FaultKind = "reload"        // the settings change and the process is told to reload them
	FaultWipe              FaultKind = "wipe"          // a control VM is killed and comes back with an empty disk
	FaultDiskFull          FaultKind = "disk-full"     // writes of a control VM fail
	FaultCutPair           FaultKind = "cut-pair"      // no packets pass between two VMs
	FaultCutOneWay         FaultKind = "cut-one-way"   // packets from one VM to another are lost
	FaultIsolate           FaultKind = "isolate"       // no packets pass between a control VM and any other VM
	FaultSlowPeers         FaultKind = "slow-peers"    // packets between two VMs are delayed
	FaultResetFront        FaultKind = "reset-front"   // open connections to a VM are reset
	FaultSilentFront       FaultKind = "silent-front"  // connections to a VM transfer no data
	FaultSlowFront         FaultKind = "slow-front"    // connections to a VM are delayed
	FaultResetWorker       FaultKind = "reset-worker"  // open connections to a worker are reset
	FaultSilentWorker      FaultKind = "silent-worker" // calls to a worker hang
	FaultMuteWorker        FaultKind = "mute-worker"   // calls reach a worker, but its answers are lost
	FaultSlowWorker        FaultKind = "slow-worker"   // calls to a worker and its answers are delayed
	FaultCrashWorker       FaultKind = "crash-worker"  // a worker crashes; an incarnation with a new id starts later
	FaultReuseWorker       FaultKind = "reuse-worker"  // a worker crashes; an incarnation with the same id starts later
	FaultLeaveWorker       FaultKind = "leave-worker"  // a worker drains and leaves; an incarnation with a new id starts later
	FaultUnavailableWorker FaultKind = "unwell-worker" // a worker refuses all starts
	FaultShrinkWorker      FaultKind = "shrink-worker" // the capacity of a worker shrinks and grows again later
)

// faultWeights lists the relative frequency of each kind of fault, except those of rareFaults.
var faultWeights = []struct {
	kind   FaultKind
	weight int
}{
	{FaultKill, 4}, {FaultKillControls, 1}, {FaultStop, 4}, {FaultPause, 4}, {FaultReload, 3}, {FaultWipe, 1}, {FaultDiskFull, 1},
	{FaultCutPair, 3}, {FaultCutOneWay, 3}, {FaultIsolate, 3}, {FaultSlowPeers, 2}, {FaultResetFront, 3}, {FaultSilentFront, 2},
	{FaultSlowFront, 2}, {FaultResetWorker, 3}, {FaultSilentWorker, 3}, {FaultMuteWorker, 2}, {FaultSlowWorker, 2},
	{FaultCrashWorker, 3}, {FaultReuseWorker, 3}, {FaultLeaveWorker, 3}, {FaultUnavailableWorker, 2},
}

// Fault is a fault of a plan. Subject is the index of the VM or worker that it affects. Other is a random number that
// determines, for example, the second VM of a pair or the delay.
type Fault struct {
	Kind           FaultKind
	At, Duration   time.Duration
	Subject, Other int
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.2f s for %.2f s on %d (%d)", f.Kind, f.At.Seconds(), f.Duration.Seconds(), f.Subject, f.Other)
}

const (
	// faultsPerSecond is the mean rate of faults.
	faultsPerSecond = 1.2
	// repeatProbability is the probability that a fault is repeated once or twice on the same subject.
	repeatProbability = 0.2
	// maxRandomDuration bounds the random part of the duration of a fault.
	maxRandomDuration = 8 * time.Second
)

// Plan generates the faults of a run of the given length. The same seed gives the same plan.
func Plan(seed uint64, size Size, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	var faults []Fault
	wiped := false
	for at := time.Second; at < length; at += time.Duration(r.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		f := Fault{Kind: randomKind(r), At: at, Duration: randomDuration(r), Other: r.IntN(1 << 16)}
		if f.Kind == FaultWipe && wiped { // toleratedLosses in the settings allows for one lost disk
			continue
		}
		wiped = wiped || f.Kind == FaultWipe
		f.Subject = r.IntN(f.Kind.subjects(size))
		faults = append(faults, f)
		if r.Float64() < repeatProbability && f.Kind != FaultWipe {
			for i := range 1 + r.IntN(2) {
				repeat := f
				repeat.At += time.Duration(i+1) * (200*time.Millisecond + time.Duration(r.Int64N(int64(time.Second))))
				faults = append(faults, repeat)
			}
		}
	}
	for _, k := range rareFaults {
		faults = append(faults, planWorkerFaults(k.kind, k.perSecond, seed, k.stream, size, length)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// randomKind returns a kind of fault with the probability that faultWeights gives it.
func randomKind(r *rand.Rand) FaultKind {
	total := 0
	for _, k := range faultWeights {
		total += k.weight
	}
	draw := r.IntN(total)
	for _, k := range faultWeights {
		if draw < k.weight {
			return k.kind
		}
		draw -= k.weight
	}
	return "" // not reached: draw is less than the sum of the weights
}

// randomDuration returns the duration of a fault.
func randomDuration(r *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(r.Int64N(int64(maxRandomDuration)))
}

// affectsWorker reports whether a fault of this kind affects one worker, the one whose index is Fault.Subject.
func (k FaultKind) affectsWorker() bool {
	switch k {
	case FaultResetWorker, FaultSilentWorker, FaultMuteWorker, FaultSlowWorker, FaultCrashWorker, FaultReuseWorker, FaultLeaveWorker, FaultUnavailableWorker,
		FaultShrinkWorker, FaultOddReports:
		return true
	}
	return false
}

// subjects returns the number of VMs or workers among which Plan chooses the subject of a fault of this kind.
func (k FaultKind) subjects(size Size) int {
	switch {
	case k == FaultKillControls, k == FaultIsolate, k == FaultDiskFull, k == FaultWipe:
		return size.Controls
	case k.affectsWorker():
		return size.Workers
	}
	return size.Controls + size.Intakes
}

// shrinksPerSecond is the mean rate of workers that shrink.
const shrinksPerSecond = 0.4

// rareFaults lists the kinds of faults that planWorkerFaults adds, with their mean rates and the numbers of their random streams.
var rareFaults = []struct {
	kind      FaultKind
	perSecond float64
	stream    uint64
}{
	{FaultShrinkWorker, shrinksPerSecond, 6}, {FaultOddReports, oddReportsPerSecond, 9}, {FaultCutWorkers, cutsPerSecond, 10},
	{FaultRestartCut, restartCutsPerSecond, 11}, {FaultLeaveCut, leaveCutsPerSecond, 12}, {FaultCutIntake, intakeCutsPerSecond, 13},
	{FaultLeaveRefused, refusedLeavesPerSecond, 14},
}

// planWorkerFaults generates faults of one kind on workers, perSecond on average. They come from a random stream of their own, so that
// the other faults of a seed stay what they were before there was this kind.
func planWorkerFaults(kind FaultKind, perSecond float64, seed, stream uint64, size Size, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, stream))
	var faults []Fault
	for at := time.Second; at < length; at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)) {
		faults = append(faults, Fault{Kind: kind, At: at, Duration: randomDuration(r), Subject: r.IntN(size.Workers), Other: r.IntN(1 << 16)})
	}
	return faults
}

// isPlanned reports whether a kind is a planned operation, which must interrupt no request.
func (k FaultKind) isPlanned() bool { return k == FaultStop || k == FaultReload }

// linkDelay returns the delay of slow links and connections.
func (f Fault) linkDelay() time.Duration { return time.Duration(10+f.Other%300) * time.Millisecond }
