package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// waveInterval is the interval at which the leader checks for VMs to maintain.
	waveInterval = 500 * time.Millisecond
	// orderTimeout bounds the calls to the platform of one check or one order, and the time for which the leader may act on a
	// confirmation of its leadership.
	orderTimeout = 2 * time.Second
)

// errNotSent means that an order was not sent, because the leadership was not confirmed, or too long ago.
var errNotSent = errors.New("the leadership is not confirmed in time; the order is made again if this VM still leads")

// waveState is the state of maintenance waves. A wave is an operator's order to maintain a list of VMs, with a limit on how
// many of them may be down at a time. The event loop owns the state.
type waveState struct {
	calling   bool          // a call to the platform is in progress
	nextCheck time.Duration // earliest time of the next check
	// mayOrderAt is the earliest time of an order in this term.
	mayOrderAt time.Duration
	// orders holds the last order for each VM, until it was refused or the maintenance is known to be over.
	orders map[string]upkeep
	// absentSince is when each VM of the wave was first missing in the lists, which have lacked it ever since.
	absentSince map[string]time.Duration
}

// upkeep is an order to maintain a VM.
type upkeep struct {
	incarnation submission.Incarnation // the worker that ran on the VM
	confirmed   bool                   // the platform has confirmed the order
	// settledAt is the time from which an answer of the worker shows that it has outlived the order; 0 while the order is in progress.
	settledAt time.Duration
}

const (
	// upkeepSettles is how long after the confirmation of an order the worker on the VM may still answer. The platform ends it at once.
	upkeepSettles = 500 * time.Millisecond
	// lateUpkeep is how long after its time was over an order without an answer may still be carried out.
	lateUpkeep = 4 * time.Second
)

// firstOrderAt returns the earliest time of an order in a term that begins now. Platforms that do not check fencing tokens
// carry out an order of the previous leader, which may be on its way for orderTimeout after that leader was last confirmed.
// The wait is not needed if there were no waves before the term.
func (l *Leader) firstOrderAt(wavesBefore bool) time.Duration {
	if !wavesBefore {
		return 0
	}
	return l.termStart + orderTimeout + l.cfg.Bounds.HolderLease
}

// advanceWaves lists the platform's VMs and continues the unfinished wave with the lowest number. A VM under maintenance
// counts as down until a new worker incarnation on it has registered.
func (l *Leader) advanceWaves(now time.Duration) {
	if l.waves.calling || now < max(l.waves.nextCheck, l.waves.mayOrderAt) || l.cfg.Platform == nil {
		return
	}
	l.waves.nextCheck = now + waveInterval
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
		l.waves.absentSince = nil
		return
	}
	l.listVMs(&l.waves.calling, func(list VMList) { l.orderNextUpkeep(wave, list) })
}

// listVMs asks the platform for the VMs of all pools and calls then on the event loop, unless the platform fails or the term has ended.
// calling is true meanwhile.
func (l *Leader) listVMs(calling *bool, then func(VMList)) {
	*calling = true
	ctx := l.ctx
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		list, err := l.cfg.Platform.VMs(callCtx)
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			*calling = false
			if err != nil {
				l.log.Warn().Str("event", "platform-unreachable").Err(err).Msg("")
				return
			}
			then(list)
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

// orderNextUpkeep orders the maintenance of the next VM of a wave, unless as many of its VMs as allowed are down already or
// the steps with tasks on that VM cannot do without them.
func (l *Leader) orderNextUpkeep(wave *pb.Wave, list VMList) {
	l.recordAbsent(wave, list)
	down := 0
	next := ""
	for _, name := range wave.GetVms() {
		i := slices.IndexFunc(list.VMs, func(vm VM) bool { return vm.ID == name })
		switch {
		case i < 0 && !slices.Contains(wave.GetBegun(), name):
			if l.hasLeft(name, list) {
				l.commitUpkeepBegun(wave, name, "gone")
			}
		case i < 0:
		case !list.VMs[i].Up || l.stillDown(name):
			down++
		case !slices.Contains(wave.GetBegun(), name) && next == "":
			next = name
		}
	}
	if next == "" || down >= int(wave.GetMaxAtOnce()) || !l.canStopAll(next) {
		return
	}
	l.orderUpkeep(wave, next)
}

const (
	// leftAfter is how long the lists must lack a VM until it counts as removed, and leftAfterIncomplete if some of their entries name no VM. A
	// worker that lives answers a hold that was sent in that time.
	leftAfter           = 2*holdWait + holdSlack
	leftAfterIncomplete = 10 * time.Second
)

// recordAbsent records which VMs of a wave a list lacks. One whose entry could not be decoded is there.
func (l *Leader) recordAbsent(wave *pb.Wave, list VMList) {
	absent := map[string]time.Duration{}
	for _, name := range wave.GetVms() {
		listed := slices.ContainsFunc(list.VMs, func(vm VM) bool { return vm.ID == name }) || slices.Contains(list.Unreadable, name)
		since, known := l.waves.absentSince[name]
		switch {
		case listed:
		case known:
			absent[name] = since
		default:
			absent[name] = l.cfg.Clock()
		}
	}
	l.waves.absentSince = absent
}

// hasLeft reports whether a VM no longer exists, by the last list and those before it: an entry may be unreadable for a while. It does exist as
// long as a worker on it answers.
func (l *Leader) hasLeft(vm string, list VMList) bool {
	since, absent := l.waves.absentSince[vm]
	wait := leftAfter
	if list.Incomplete {
		wait = leftAfterIncomplete
	}
	return absent && l.cfg.Clock()-since >= wait && !l.answersOn(vm, since)
}

// answersOn reports whether a worker on a VM has answered since a time.
func (l *Leader) answersOn(vm string, since time.Duration) bool {
	for _, s := range l.sessions {
		if s.vm == vm && s.leaseSnapshot().answeredAt > since {
			return true
		}
	}
	return false
}

// stillDown reports whether maintenance of the VM was ordered, and neither has a new worker incarnation registered there since nor the
// known one lived on. An order that is repeated once the maintenance is over is confirmed as well.
func (l *Leader) stillDown(vm string) bool {
	order, ok := l.waves.orders[vm]
	if !ok || !order.confirmed {
		return false
	}
	back := l.outlived(order)
	l.cfg.State.View(func(state *submission.State) {
		for _, w := range state.Workers() {
			back = back || w.GetVm() == vm && !w.GetGone() && w.Incarnation() != order.incarnation
		}
	})
	if back {
		delete(l.waves.orders, vm)
	}
	return !back
}

// outlived reports whether the worker that ran on a VM has answered a hold that was sent after the order would have ended it.
func (l *Leader) outlived(order upkeep) bool {
	s := l.sessions[order.incarnation.ID]
	return s != nil && s.incarnation == order.incarnation && order.settledAt > 0 && s.leaseSnapshot().answeredAt > order.settledAt
}

// endsByUpkeep reports whether this leader has ordered the maintenance of a VM, perhaps without effect, and a worker incarnation on it
// has not outlived that.
func (l *Leader) endsByUpkeep(vm string, incarnation submission.Incarnation) bool {
	order, ok := l.waves.orders[vm]
	return ok && order.incarnation == incarnation && !l.outlived(order)
}

func (l *Leader) orderUpkeep(wave *pb.Wave, vm string) {
	incarnation := submission.Incarnation{}
	l.cfg.State.View(func(state *submission.State) {
		for _, w := range state.Workers() {
			if w.GetVm() == vm && !w.GetGone() {
				incarnation = w.Incarnation()
			}
		}
	})
	earlier := l.waves.orders[vm]
	l.waves.calling, l.waves.orders[vm] = true, upkeep{incarnation: incarnation}
	ctx, term := l.ctx, l.term
	go func() {
		err := l.orderConfirmed(ctx, func(ctx context.Context) error {
			return l.cfg.Platform.Upkeep(ctx, vm, wave.GetNumber(), l.cfg.Holder, term)
		})
		l.post(func() {
			if l.ctx != ctx {
				return
			}
			l.waves.calling = false
			l.log.Info().Str("decision", "upkeep").Uint64("wave", wave.GetNumber()).Str("vm", vm).Uint64("term", term).AnErr("error", err).Msg("")
			l.recordOrder(vm, incarnation, earlier, err)
			switch {
			case err == nil:
				l.commitUpkeepBegun(wave, vm, "ordered")
			case errors.Is(err, ErrFenced):
				l.endTerm()
			}
		})
	}()
}

// recordOrder records the result of an order. One that was not carried out leaves the one before as it was.
func (l *Leader) recordOrder(vm string, incarnation submission.Incarnation, earlier upkeep, err error) {
	now := l.cfg.Clock()
	switch {
	case err == nil:
		l.waves.orders[vm] = upkeep{incarnation, true, now + upkeepSettles}
	case !errors.Is(err, ErrBusy) && !errors.Is(err, errNotSent):
		l.waves.orders[vm] = upkeep{incarnation, false, now + lateUpkeep}
	case earlier != upkeep{}:
		l.waves.orders[vm] = earlier
	default:
		delete(l.waves.orders, vm)
	}
}

// orderConfirmed sends an order to the platform after a quorum has confirmed that this VM leads. It sends nothing if this VM
// was suspended or delayed so long since it asked the quorum that another leader may order by now.
func (l *Leader) orderConfirmed(ctx context.Context, send func(context.Context) error) error {
	asked := l.cfg.Clock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := l.cfg.Log.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	if l.cfg.Clock()-asked >= orderTimeout {
		return errNotSent
	}
	return send(ctx)
}

// commitUpkeepBegun commits that the maintenance of a VM has begun or is not needed.
func (l *Leader) commitUpkeepBegun(wave *pb.Wave, vm, why string) {
	change := &pb.SubmissionChange{Change: &pb.SubmissionChange_WaveProgress{WaveProgress: &pb.WaveProgress{Number: wave.GetNumber(), Vm: vm}}}
	l.queueChange(change, func(_ submission.Result, err error) {
		l.log.Info().Str("decision", "upkeep-begun").Uint64("wave", wave.GetNumber()).Str("vm", vm).Str("why", why).AnErr("error", err).Msg("")
	})
}
