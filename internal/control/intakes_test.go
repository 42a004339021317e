package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/relay"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against an intake VM of which no other knows after all VMs have restarted, and against ones that are kept for good.
func TestIntakeVMsAreKnownAfterRestartsOfAllVMs(t *testing.T) {
	is := is.New(t)
	a, b, c, d, e := relay.Agent{ID: "a", FailureDomain: "1"}, relay.Agent{ID: "b", FailureDomain: "1"}, relay.Agent{ID: "c", FailureDomain: "2"},
		relay.Agent{ID: "d", FailureDomain: "2"}, relay.Agent{ID: "e", FailureDomain: "2"}
	state := submission.New(1000, nil)
	watch := &intakeWatch{term: 1, began: 0, heard: map[string]time.Duration{}}
	apply := func(alive []relay.Agent, now time.Duration) int {
		changes := watch.update(state.Intakes(), alive, now)
		for _, change := range changes {
			applyTo(t, state, change)
		}
		return len(changes)
	}
	is.Equal(apply([]relay.Agent{a, b, c, d, e}, time.Second), 5)
	is.Equal(apply([]relay.Agent{a, b, c, d, e}, 2*time.Second), 0) // nothing new needs no log entry
	is.Equal(len(watch.offers(state.Intakes(), []relay.Agent{a, b, c, d, e}, 2*time.Second)), 0)

	snapshot, err := state.Snapshot()
	is.NoErr(err)
	state = submission.New(1000, nil)
	is.NoErr(state.Restore(snapshot))
	watch = &intakeWatch{term: 2, began: time.Hour, heard: map[string]time.Duration{}}
	alive := []relay.Agent{b, c, d, e}
	is.Equal(apply(alive, time.Hour), 0)
	is.Equal(len(watch.offers(state.Intakes(), alive, time.Hour)), 0) // it may not have found the new leader yet
	is.Equal(apply(alive, time.Hour+intakeSilence), 0)
	offers := watch.offers(state.Intakes(), alive, time.Hour+intakeSilence)
	is.Equal(len(offers), offersPerIntake)
	is.Equal(offers["b"], []string{"a"}) // in the same failure domain

	is.Equal(apply(alive, time.Hour+intakeRetention), 0)
	is.Equal(apply(alive, time.Hour+intakeRetention+time.Second), 1)
	is.Equal(len(state.Intakes()), 4)
	is.Equal(apply([]relay.Agent{{ID: "b", FailureDomain: "3"}}, time.Hour+intakeRetention+2*time.Second), 1)
	is.Equal(state.Intakes()["b"].GetFailureDomain(), "3")
	is.Equal(state.Intakes()["a"], (*pb.IntakeVM)(nil))
}
