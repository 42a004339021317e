package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/boottime"
	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/relay"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// An intake VM that restarts behind a partition knows the seeds only, and none of them answers. The other intake VMs therefore offer to
// forward its requests. They learn of it from the leader: the intake VMs are part of the replicated state, as all VMs may restart at once.

const (
	// intakesInterval is the interval at which the leader compares the intake VMs that are known with those that it hears from.
	intakesInterval = time.Second
	// intakeSilence is how long a leader does not hear from an intake VM before it counts as silent.
	intakeSilence = 2 * time.Second
	// intakeRetention is how long an intake VM is kept in the state while the leader does not hear from it.
	intakeRetention = 10 * time.Minute
	// offersPerIntake is the number of intake VMs that offer to forward the requests of a silent one.
	offersPerIntake = 3
)

// intakeWatch is what the leader of one term knows of the intake VMs beside the state.
type intakeWatch struct {
	term  uint64
	began time.Duration
	heard map[string]time.Duration // when an intake VM was last seen alive in this term
}

// lastHeard returns when an intake VM was last seen alive, or the beginning of the term.
func (w *intakeWatch) lastHeard(vm string) time.Duration { return max(w.began, w.heard[vm]) }

// update takes note of the intake VMs that are alive. It returns the changes of the state that follow, in the order of the ids.
func (w *intakeWatch) update(known map[string]*pb.IntakeVM, alive []relay.Agent, now time.Duration) []*pb.SubmissionChange {
	var changed []*pb.IntakeVM
	for _, vm := range alive {
		w.heard[vm.ID] = now
		if k := known[vm.ID]; k == nil || k.GetFailureDomain() != vm.FailureDomain {
			changed = append(changed, &pb.IntakeVM{Id: vm.ID, FailureDomain: vm.FailureDomain})
		}
	}
	for id := range known {
		if now-w.lastHeard(id) > intakeRetention {
			delete(w.heard, id)
			changed = append(changed, &pb.IntakeVM{Id: id, Gone: true})
		}
	}
	slices.SortFunc(changed, func(a, b *pb.IntakeVM) int { return cmp.Compare(a.GetId(), b.GetId()) })
	var changes []*pb.SubmissionChange
	for _, vm := range changed {
		changes = append(changes, &pb.SubmissionChange{Change: &pb.SubmissionChange_Intake{Intake: vm}})
	}
	return changes
}

// offers returns, for each intake VM that is alive, the silent ones to which it offers to forward requests.
func (w *intakeWatch) offers(known map[string]*pb.IntakeVM, alive []relay.Agent, now time.Duration) map[string][]string {
	offers := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if now-w.lastHeard(id) < intakeSilence {
			continue
		}
		for _, vm := range relay.Nearest(alive, id, known[id].GetFailureDomain(), offersPerIntake) {
			offers[vm] = append(offers[vm], id)
		}
	}
	return offers
}

// followIntakes keeps the intake VMs in the state up to date while this VM leads.
func (c *Control) followIntakes() {
	ticker := time.NewTicker(intakesInterval)
	defer ticker.Stop()
	watch := &intakeWatch{}
	for {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			return
		}
		if term := c.leader.Term(); term != watch.term {
			watch = &intakeWatch{term: term, began: boottime.Now(), heard: map[string]time.Duration{}}
		}
		if watch.term == 0 {
			c.offers.Store(nil)
			continue
		}
		c.recordIntakes(watch)
	}
}

// recordIntakes commits what has changed of the intake VMs and renews the offers that they make to each other. Changes that were not committed
// are found again the next time.
func (c *Control) recordIntakes(watch *intakeWatch) {
	var known map[string]*pb.IntakeVM
	c.state.View(func(s *submission.State) { known = maps.Clone(s.Intakes()) })
	alive, now := c.relay.Intakes(), boottime.Now()
	changes := watch.update(known, alive, now)
	offers := watch.offers(known, alive, now)
	c.offers.Store(&offers)
	if len(changes) == 0 {
		return
	}
	if _, err := dispatch.Commit(c.ctx, c.group, changes...); err != nil {
		c.log.Warn().Str("event", "intakes-not-recorded").Int("changes", len(changes)).Err(err).Msg("")
	}
}

// silentIntakes returns the intake VMs to which one that asks offers to forward requests.
func (c *Control) silentIntakes(vm string) []string {
	offers := c.offers.Load()
	if offers == nil {
		return nil
	}
	return (*offers)[vm]
}
