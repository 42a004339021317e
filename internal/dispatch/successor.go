package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// A worker that restarts where its reports do not arrive is known only from the answers to calls. If it has kept its id, its next
// incarnation is registered from the answer to a hold. Under another id it refuses the hold and tells nothing more; then the platform's
// list of VMs names the worker that runs there now, which is asked at the address of its predecessor.

const (
	// successorWait is how long a worker that took the place of another one may take to report by itself.
	successorWait = 2 * time.Second
	// successorTimeout is how long an unreported successor is looked for.
	successorTimeout = time.Minute
	// searchPauseMin and searchPauseMax bound the pause between two searches, which doubles each time.
	searchPauseMin = 2 * time.Second
	searchPauseMax = 16 * time.Second
	// successorAttempts is the number of calls with which a successor is asked, each of which may take another route.
	successorAttempts = 5
)

// successorSearch is the state of the search for workers that have replaced others without a report. The event loop owns it.
type successorSearch struct {
	// missing maps each VM to the worker that was replaced there.
	missing map[string]missingSuccessor
	calling bool // the platform is being asked
	next    time.Duration
	pause   time.Duration
	// uncommitted holds the workers that were found and whose registration has failed.
	uncommitted []*pb.PoolWorker
}

type missingSuccessor struct {
	previous *pb.PoolWorker
	since    time.Duration
}

// registerSuccessor registers the incarnation that has answered a hold in place of the incarnation of a session.
func (l *Leader) registerSuccessor(s *session, bornUnixMs int64) {
	if known := l.knownWorker(s.incarnation.ID); known != nil && known.GetBornUnixMs() == s.incarnation.BornUnixMs {
		l.registerSuccessorOf(known, bornUnixMs)
	}
}

// registerSuccessorOf registers a later incarnation of a known worker. Its labels may have changed and are unknown until it reports, so
// that it gets no task which needs one.
func (l *Leader) registerSuccessorOf(known *pb.PoolWorker, bornUnixMs int64) {
	if bornUnixMs <= known.GetBornUnixMs() {
		return
	}
	w := proto.CloneOf(known)
	w.BornUnixMs, w.Labels, w.Sequence, w.Draining, w.Gone = bornUnixMs, nil, 0, false, false
	l.registerUnreported(w)
}

func (l *Leader) registerUnreported(w *pb.PoolWorker) {
	l.log.Info().Str("event", "successor-found").Str("worker", w.GetId()).Int64("born", w.GetBornUnixMs()).Str("vm", w.GetVm()).
		Msg("a worker that has replaced another one is registered before it reports")
	l.register(w, func(err error) {
		if err != nil {
			l.successors.uncommitted = append(l.successors.uncommitted, w)
		}
	})
}

// repeatRegistrations registers the workers again whose registration has failed: without a session nothing else would call them.
func (l *Leader) repeatRegistrations() {
	failed := l.successors.uncommitted
	l.successors.uncommitted = nil
	for _, w := range failed {
		if known := l.knownWorker(w.GetId()); known == nil || known.GetBornUnixMs() < w.GetBornUnixMs() {
			l.registerUnreported(w)
		}
	}
}

// expectOtherWorker records that another worker answers at the address of a session.
func (l *Leader) expectOtherWorker(s *session) {
	if known := l.knownWorker(s.incarnation.ID); known != nil && known.GetBornUnixMs() == s.incarnation.BornUnixMs {
		l.addMissing(known)
	}
}

func (l *Leader) addMissing(previous *pb.PoolWorker) {
	if previous.GetVm() == "" || l.cfg.Platform == nil {
		return
	}
	now := l.cfg.Clock()
	if soon := now + successorWait; len(l.successors.missing) == 0 || l.successors.next > soon {
		l.successors.next = soon
	}
	l.successors.pause = searchPauseMin
	l.successors.missing[previous.GetVm()] = missingSuccessor{previous, now}
}

// takeOverMissing records the workers that have gone without notice and on whose VMs no other one is known. The previous leader may have
// known that others have taken their places.
func (l *Leader) takeOverMissing(state *submission.State) {
	occupied := map[string]bool{}
	for _, w := range state.Workers() {
		occupied[w.GetVm()] = occupied[w.GetVm()] || !w.GetGone()
	}
	for _, w := range state.Workers() {
		if w.GetGone() && !w.GetDraining() && w.Leave == nil && !occupied[w.GetVm()] {
			l.addMissing(proto.CloneOf(w.PoolWorker))
		}
	}
}

// searchSuccessors asks the platform which workers run on the VMs whose workers were replaced without a report.
func (l *Leader) searchSuccessors(now time.Duration) {
	search := &l.successors
	if len(search.missing) == 0 || search.calling || now < search.next {
		return
	}
	l.forgetFoundSuccessors(now)
	if len(search.missing) == 0 {
		return
	}
	search.next = now + search.pause
	search.pause = min(2*search.pause, searchPauseMax)
	l.listVMs(&search.calling, func(list VMList) {
		for _, vm := range list.VMs {
			l.askSuccessor(vm)
		}
	})
}

// forgetFoundSuccessors forgets the VMs on which a worker is known by now, and those that were searched for long enough.
func (l *Leader) forgetFoundSuccessors(now time.Duration) {
	l.cfg.State.View(func(state *submission.State) {
		for _, w := range state.Workers() {
			if !w.GetGone() {
				delete(l.successors.missing, w.GetVm())
			}
		}
	})
	for vm, missing := range l.successors.missing {
		if now-missing.since > successorTimeout {
			delete(l.successors.missing, vm)
		}
	}
}

// askSuccessor asks the worker that the platform names for a VM whether it answers at the address of its predecessor, and registers it if so.
func (l *Leader) askSuccessor(vm VM) {
	missing, ok := l.successors.missing[vm.ID]
	if !ok || !vm.Up || vm.Worker == "" || l.knownWorker(vm.Worker) != nil {
		return
	}
	w := &pb.PoolWorker{Id: vm.Worker, Pool: vm.Pool, Address: missing.previous.GetAddress(), FailureDomain: missing.previous.GetFailureDomain(),
		Rack: vm.Rack, Labels: slices.Clone(vm.Labels), Capacity: vm.Capacity, Vm: vm.ID}
	if w.Capacity == nil || !l.namesPool(w) {
		return
	}
	ctx := l.ctx
	target := Target{Incarnation: submission.Incarnation{ID: w.GetId()}, Address: w.GetAddress(), FailureDomain: w.GetFailureDomain(), Fence: l.fenceFor(w.GetId())}
	l.pool.Submit(func() {
		answer, err := l.askRepeatedly(ctx, target, claimProbeTimeout)
		l.post(func() {
			if err != nil || l.ctx != ctx || l.knownWorker(w.GetId()) != nil {
				return
			}
			w.BornUnixMs = answer.BornUnixMs
			l.registerUnreported(w)
		})
	})
}

// askRepeatedly asks a worker that another VM may reach although this one does not, with a timeout for each call. Without an answer it returns
// the error of the last call.
func (l *Leader) askRepeatedly(ctx context.Context, t Target, timeout time.Duration) (HoldAnswer, error) {
	var err error
	for range successorAttempts {
		var answer HoldAnswer
		answer, err = l.probeWithin(ctx, t, timeout)
		switch {
		case err == nil && answer.BornUnixMs > 0 || errors.Is(err, ErrOtherIncarnation):
			return answer, err
		case err == nil:
			err = ErrNoAnswer // of a worker that is not known
		}
	}
	return HoldAnswer{}, err
}

// isInferred reports whether the record of a worker incarnation was not taken from a report. The platform numbers reports from 1 on.
func isInferred(known *pb.PoolWorker) bool { return known.GetSequence() == 0 }
