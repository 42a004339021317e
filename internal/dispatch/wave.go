package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// waveInterval is the time between two looks at the waves of upkeep.
	waveInterval = 500 * time.Millisecond
	// orderTimeout bounds a call to the platform.
	orderTimeout = 2 * time.Second
)

// waveWork is the upkeep in progress. The loop owns it.
type waveWork struct {
	calling bool
	lookAt  time.Duration
	// down holds the VMs whose upkeep was ordered, with the life of the worker that ended by it.
	down map[string]submission.Incarnation
}

// advanceWaves orders the upkeep of the next VMs, never more at once than a wave allows. A VM counts as down until a new
// life of its worker has reported.
func (l *Leader) advanceWaves(now time.Duration) {
	if l.waves.calling || now < l.waves.lookAt || l.cfg.Platform == nil {
		return
	}
	l.waves.lookAt = now + waveInterval
	var wave *pb.Wave
	l.cfg.State.View(func(state *submission.State) {
		for _, number := range sortedWaves(state.Waves()) {
			if w := state.Waves()[number]; !w.GetDone() {
				wave = w
				break
			}
		}
	})
	if wave == nil {
		return
	}
	l.waves.calling = true
	ctx := l.ctx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		vms, err := l.cfg.Platform.VMs(callCtx)
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			l.waves.calling = false
			if err != nil {
				l.log.Warn().Str("event", "platform-unreachable").Err(err).Msg("")
				return
			}
			l.orderUpkeep(wave, vms)
		})
	}()
}

func sortedWaves(waves map[uint64]*pb.Wave) []uint64 {
	var numbers []uint64
	for n := range waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// orderUpkeep orders the next VM of a wave if fewer than allowed are down.
func (l *Leader) orderUpkeep(wave *pb.Wave, vms []VM) {
	down := 0
	next := ""
	for _, name := range wave.GetVms() {
		i := slices.IndexFunc(vms, func(vm VM) bool { return vm.ID == name })
		switch {
		case i < 0 && !slices.Contains(wave.GetBegun(), name):
			l.beginUpkeep(wave, name, "gone") // it has left, so nothing is to be done
		case i < 0:
		case !vms[i].Up || l.stillDown(name):
			down++
		case !slices.Contains(wave.GetBegun(), name) && next == "":
			next = name
		}
	}
	if next == "" || down >= int(wave.GetMaxAtOnce()) || !l.mayMiss(next) {
		return
	}
	l.callUpkeep(wave, next)
}

// stillDown reports whether the worker of a VM has not come back since its upkeep was ordered.
func (l *Leader) stillDown(vm string) bool {
	life, ok := l.waves.down[vm]
	if !ok {
		return false
	}
	back := false
	l.cfg.State.View(func(state *submission.State) {
		for _, w := range state.Workers() {
			back = back || w.GetVm() == vm && !w.GetGone() && w.Incarnation() != life
		}
	})
	if back {
		delete(l.waves.down, vm)
	}
	return !back
}

// mayMiss reports whether the steps with tasks on a VM can do without them now.
func (l *Leader) mayMiss(vm string) bool {
	allowed := true
	l.cfg.State.View(func(state *submission.State) {
		for _, w := range state.Workers() {
			if w.GetVm() != vm || w.GetGone() {
				continue
			}
			taken := map[stepOf]int{}
			for ref := range w.Attempts {
				taken[stepOf{ref.Submission, ref.Occurrence, ref.Step}]++
			}
			for key, n := range taken {
				allowed = allowed && l.canLose(state, key, n)
			}
		}
	})
	return allowed
}

// canLose reports whether n tasks of a step may be stopped without exceeding its limit on unavailable tasks.
func (l *Leader) canLose(state *submission.State, key stepOf, n int) bool {
	sub := state.Submission(key.submission)
	if sub == nil || !sub.Active() {
		return true
	}
	spec := sub.Spec.GetSteps()[key.step]
	if spec.GetMaxUnavailable() == 0 {
		return true
	}
	o := sub.Occurrence(key.occurrence)
	if o.Done {
		return true
	}
	away := 0
	for i := range o.Steps[key.step].Tasks {
		ref := submission.Ref{Submission: key.submission, Occurrence: key.occurrence, Step: key.step, Index: uint32(i)}
		if !l.atWork(ref, &o.Steps[key.step].Tasks[i]) {
			away++
		}
	}
	return away+n <= int(spec.GetMaxUnavailable())
}

// atWork reports whether an endless task was serving at the last reading.
func (l *Leader) atWork(ref submission.Ref, t *submission.Task) bool {
	s := l.sessions[t.On.ID]
	if !t.Placed() || s == nil || s.life != t.On {
		return false
	}
	figure, ok := s.figures[ref]
	return ok && figure.Attempt == t.Attempt && figure.Percent >= atWork
}

func (l *Leader) callUpkeep(wave *pb.Wave, vm string) {
	life := submission.Incarnation{}
	l.cfg.State.View(func(state *submission.State) {
		for _, w := range state.Workers() {
			if w.GetVm() == vm && !w.GetGone() {
				life = w.Incarnation()
			}
		}
	})
	l.waves.calling = true
	ctx, term := l.ctx, l.term
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := l.cfg.Platform.Upkeep(callCtx, vm, wave.GetNumber(), l.cfg.Holder, term)
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			l.waves.calling = false
			l.log.Info().Str("decision", "upkeep").Uint64("wave", wave.GetNumber()).Str("vm", vm).Uint64("term", term).AnErr("error", err).Msg("")
			switch {
			case err == nil:
				l.waves.down[vm] = life
				l.beginUpkeep(wave, vm, "ordered")
			case errors.Is(err, ErrFenced):
				l.end()
			}
		})
	}()
}

// beginUpkeep commits that the upkeep of a VM has begun or is not needed.
func (l *Leader) beginUpkeep(wave *pb.Wave, vm, why string) {
	change := &pb.SubmissionChange{Change: &pb.SubmissionChange_WaveProgress{WaveProgress: &pb.WaveProgress{Number: wave.GetNumber(), Vm: vm}}}
	l.change(change, func(_ submission.Result, err error) {
		l.log.Info().Str("decision", "upkeep-begun").Uint64("wave", wave.GetNumber()).Str("vm", vm).Str("why", why).AnErr("error", err).Msg("")
	})
}
