package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/dispatch"
)

// fleet is a leader that calls workers itself, another control VM and two intake VMs.
type fleet struct {
	*network
	leader  *Relay
	callers map[string]*recordingCaller
	// stopping lists the VMs that no longer announce themselves; network.mu guards it.
	stopping map[string]bool
}

var fleetVMs = []string{"leader", "control", "intake-1", "intake-2"}

// withFleet runs f in virtual time with the VMs of fleetVMs.
func withFleet(t *testing.T, f func(is *is.I, fl *fleet)) { withVMs(t, fleetVMs, f) }

// withVMs runs f in virtual time with a fleet whose VMs, all but the first, the leader, announce themselves until f returns.
func withVMs(t *testing.T, ids []string, f func(is *is.I, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{relays: map[string]*Relay{}, cut: map[string]bool{}, delay: time.Millisecond}
		defer n.close()
		fl, begin := &fleet{network: n, callers: map[string]*recordingCaller{}, stopping: map[string]bool{}}, time.Now()
		for _, id := range ids {
			fl.callers[id] = &recordingCaller{}
			n.relays[id] = New(Config{ID: id, FailureDomain: "d", Intake: id != "leader" && id != "control", Local: fl.callers[id], Messenger: endpoint{n, id},
				Logger: zerolog.Nop(), UseAgents: func() bool { return false }, Clock: func() time.Duration { return time.Since(begin) + time.Hour }})
		}
		fl.leader = n.relays["leader"]
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				for _, id := range ids[1:] {
					if !fl.isStopping(id) {
						n.relays[id].Announce("leader")
					}
				}
				time.Sleep(AnnounceInterval)
			}
		}()
		time.Sleep(AnnounceInterval)
		f(is.New(t), fl)
	})
}

// drain makes a VM announce itself no more, though it still makes calls.
func (f *fleet) drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping[id] = true
}

func (f *fleet) isStopping(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping[id]
}

// reach makes only the named VMs reach the worker.
func (f *fleet) reach(ids ...string) {
	for _, caller := range f.callers {
		caller.setError(dispatch.ErrNoAnswer)
	}
	for _, id := range ids {
		f.callers[id].setError(nil)
	}
}

func (f *fleet) hold() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := f.leader.Hold(ctx, dispatch.HoldCall{Target: worker})
	return err
}

// holdsUntilAnswered returns how many holds are made until one is answered, at most 20.
func (f *fleet) holdsUntilAnswered() int {
	for n := 1; n < 20; n++ {
		if f.hold() == nil {
			return n
		}
	}
	return 20
}

// Guards against a worker whose tasks are lost because no control VM reaches it, though an intake VM does.
func TestWorkerCutOffFromControlVMsIsCalledByIntakeVMs(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		is.Equal(f.holdsUntilAnswered(), 1)
		is.Equal(len(f.callers["leader"].recorded()), 1)
		f.reach("intake-1", "intake-2")
		is.Equal(f.holdsUntilAnswered(), 2)
		_, err := f.leader.Start(context.Background(), dispatch.StartCall{Target: worker})
		is.NoErr(err)
		is.Equal(f.holdsUntilAnswered(), 1)
	})
}

// Guards against the same for a worker that only some of the other VMs reach, whichever they are.
func TestWorkerReachedByOneVMIsCalledByIt(t *testing.T) {
	for _, id := range fleetVMs {
		withFleet(t, func(is *is.I, f *fleet) {
			f.reach(id)
			is.True(f.holdsUntilAnswered() <= len(fleetVMs))
			is.Equal(f.holdsUntilAnswered(), 1)
		})
	}
}

// Guards against a worker that counts as lost because the intake VM that calls it is cut off from the leader or has ended.
func TestIntakeVMThatIsSilentIsSkipped(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("intake-1", "intake-2")
		is.Equal(f.holdsUntilAnswered(), 2)
		used := f.leader.IntakesInUse()
		is.Equal(len(used), 1)
		f.isolate(used[0], true)
		is.True(f.holdsUntilAnswered() <= 3)
		is.Equal(len(f.leader.IntakesInUse()), 2)
	})
}

// Guards against a worker that is called by intake VMs for ever after the leader reaches it again.
func TestPreferredRouteIsUsedAgain(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("intake-1", "intake-2")
		is.Equal(f.holdsUntilAnswered(), 2)
		time.Sleep(preferredRetryInterval)
		is.NoErr(f.hold()) // the preferred route is tried beside it, in vain
		time.Sleep(preferredRetryTimeout)
		is.NoErr(f.hold())
		f.reach(fleetVMs...)
		time.Sleep(preferredRetryInterval)
		is.NoErr(f.hold())
		time.Sleep(preferredRetryTimeout)
		before := len(f.callers["leader"].recorded())
		is.NoErr(f.hold())
		is.Equal(len(f.callers["leader"].recorded()), before+1)
	})
}

// Guards against a worker that changes its route every few seconds because the preferred one loses many packets, but not all.
func TestPreferredRouteThatFailsAgainIsTriedLessOften(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		const round = 100 * time.Millisecond
		returned := 0
		for began := time.Now(); time.Since(began) < 2*time.Minute; {
			f.reach(fleetVMs...)
			is.NoErr(f.hold()) // a trial of the preferred route beside it succeeds
			time.Sleep(time.Millisecond)
			f.reach("intake-1", "intake-2")
			if f.hold() != nil {
				returned++
			}
			time.Sleep(round)
		}
		is.True(returned >= 4)
		is.True(returned <= 6) // after 0, 5, 15, 35, 75 and 115 s
	})
}

// Guards against workers that are called by other VMs because they leave orders unanswered, or because a call to them was cancelled.
func TestUnansweredOrderDoesNotChangeRoute(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("intake-1", "intake-2")
		_, err := f.leader.Start(context.Background(), dispatch.StartCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer))
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = f.leader.Hold(cancelled, dispatch.HoldCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer))
		f.reach("leader")
		is.Equal(f.holdsUntilAnswered(), 1)
		is.Equal(len(f.leader.IntakesInUse()), 0)
	})
}

// Guards against records of routes that stay in memory for workers that are no longer called.
func TestFailedRoutesOfFormerWorkersAreForgotten(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach()
		is.True(f.hold() != nil)
		time.Sleep(routeRetention + time.Second)
		other := worker
		other.Incarnation.ID = "other"
		_, err := f.leader.Hold(context.Background(), dispatch.HoldCall{Target: other})
		is.True(err != nil)
		is.Equal(len(f.leader.failed), 1)
	})
}

// Guards against VMs that are never tried, and against a worker that waits for all control VMs before an intake VM is tried.
func TestControlAndIntakeVMsTakeTurns(t *testing.T) {
	is := is.New(t)
	c := Candidates{Control: []Agent{{"c1", "a"}, {"c2", "b"}}, Intake: []Agent{{"i1", "a"}, {"i2", "b"}, {"i3", "b"}}, LeaderFirst: true}
	is.Equal(c.Choose("w", "a", 0), "")
	is.Equal(c.Choose("w", "a", 1), "i1")
	is.Equal(c.Choose("w", "a", 2), "c1")
	tried := map[string]bool{}
	for n := range 6 {
		tried[c.Choose("w", "b", n)] = true
	}
	is.Equal(len(tried), 6)
	c.LeaderFirst = false
	is.Equal(c.Choose("w", "b", 0), "c2")
	c.Intake = nil
	is.Equal(c.Choose("w", "b", 1), "")
}

// Guards against connections from all intake VMs to a worker whose process has ended: each of them is refused.
func TestWorkerThatRefusesConnectionsIsCalledByFewVMs(t *testing.T) {
	ids := slices.Clone(fleetVMs)
	for n := range 10 {
		ids = append(ids, fmt.Sprint("other-", n))
	}
	withVMs(t, ids, func(is *is.I, f *fleet) {
		for _, caller := range f.callers {
			caller.setError(dispatch.ErrConnectionRefused)
		}
		for range 5 * refusedRoutes {
			is.True(errors.Is(f.hold(), dispatch.ErrConnectionRefused))
		}
		is.True(len(f.leader.IntakesInUse()) <= refusedRoutes/2)
	})
}

// Guards against a worker that counts as ended because a partition rejects the connections of control VMs.
func TestWorkerBehindRejectingPartitionIsCalledByIntakeVMs(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.callers["leader"].setError(dispatch.ErrConnectionRefused)
		f.callers["control"].setError(dispatch.ErrConnectionRefused)
		is.Equal(f.holdsUntilAnswered(), 1)
		is.Equal(f.holdsUntilAnswered(), 1)
	})
}

// Guards against a task that runs twice because its worker counts as ended, since control VMs are refused connections to it, though it
// runs on and other VMs reach it.
func TestRefusalAtOneVMDoesNotProveThatWorkerEnded(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("intake-1", "intake-2")
		for _, id := range []string{"leader", "control"} {
			f.callers[id].setError(dispatch.ErrConnectionRefused)
		}
		is.NoErr(f.hold())
		before := len(f.callers["leader"].recorded())
		is.NoErr(f.hold())
		is.Equal(len(f.callers["leader"].recorded()), before) // the route that works is used
		f.reach()
		f.callers["leader"].setError(dispatch.ErrConnectionRefused)
		for range 8 {
			is.True(!errors.Is(f.hold(), dispatch.ErrConnectionRefused))
		}
	})
}

// Guards against a new incarnation of a worker that takes the lease in a hold for the former one, or forgets its ends: the former one has
// refused the connection, and the hold is repeated by way of another VM.
func TestHoldRepeatedAfterRefusalChangesNothing(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("control", "intake-1", "intake-2")
		f.callers["leader"].setError(dispatch.ErrConnectionRefused)
		_, err := f.leader.Hold(context.Background(), dispatch.HoldCall{Target: worker, LeaseUntilMs: 5000, SeenEnd: 7, WaitMs: 1500})
		is.NoErr(err)
		for _, id := range fleetVMs[1:] {
			for _, call := range f.callers[id].recorded() {
				is.Equal(call, "hold until 0 seen 0 wait 0")
			}
		}
	})
}

// Guards against a VM that gets no calls because one to it was cancelled before its answer could arrive.
func TestCancelledCallDoesNotMakeVMSuspect(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("intake-1", "intake-2")
		is.Equal(f.holdsUntilAnswered(), 2)
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		time.AfterFunc(2*time.Millisecond, cancel)
		_, err := f.leader.Hold(ctx, dispatch.HoldCall{Target: worker})
		is.True(err != nil)
		is.NoErr(f.hold())
		is.Equal(len(f.leader.IntakesInUse()), 1)
	})
}

// Guards against an intake VM that gets calls until it ends: its answers count as offers although it has said that it stops.
func TestIntakeVMThatStopsGetsNoMoreCalls(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("intake-1", "intake-2")
		is.Equal(f.holdsUntilAnswered(), 2)
		leaving := f.leader.IntakesInUse()[0]
		f.drain(leaving)
		for range 2 * intakeTimeout / (500 * time.Millisecond) {
			is.NoErr(f.hold())
			time.Sleep(500 * time.Millisecond)
		}
		before := len(f.callers[leaving].recorded())
		is.NoErr(f.hold())
		is.Equal(len(f.callers[leaving].recorded()), before)
	})
}

// Guards against a worker that is called by a VM which does not reach it, though its present one does, because the list of intake VMs
// has changed.
func TestRouteThatWorksStaysWhenOtherVMsComeAndGo(t *testing.T) {
	for _, id := range fleetVMs[2:] {
		withFleet(t, func(is *is.I, f *fleet) {
			f.reach(id)
			is.True(f.holdsUntilAnswered() <= len(fleetVMs))
			for _, others := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}, {"e"}, nil} {
				for range 8 {
					for _, other := range others {
						f.leader.RecordIntake(other, "d", 1)
					}
					is.NoErr(f.hold())
					time.Sleep(400 * time.Millisecond)
				}
			}
		})
	}
}

// Guards against all workers being called by intake VMs for seconds because the connections to them were reset once.
func TestBrokenConnectionDoesNotChangeRoute(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		for range 3 {
			f.callers["leader"].setError(dispatch.ErrConnectionBroken)
			is.True(f.hold() != nil)
			f.callers["leader"].setError(nil)
			is.NoErr(f.hold())
		}
		is.Equal(len(f.leader.IntakesInUse()), 0)
		f.callers["leader"].setError(dispatch.ErrConnectionBroken) // a partition may reset connections, too
		is.Equal(f.holdsUntilAnswered(), 3)
		is.Equal(len(f.leader.IntakesInUse()), 1)
	})
}

// Guards against an intake VM that makes no calls for 2 s because a short call to it was given up while the leader was connecting.
func TestShortCallDoesNotMakeVMSuspect(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.reach("intake-1", "intake-2")
		is.Equal(f.holdsUntilAnswered(), 2)
		used := f.leader.IntakesInUse()[0]
		f.isolate(used, true)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := f.leader.Hold(ctx, dispatch.HoldCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrAgentSilent))
		f.isolate(used, false)
		is.NoErr(f.hold())
		is.Equal(f.leader.IntakesInUse(), []string{used})
	})
}
