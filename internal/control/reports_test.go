package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against a control VM that acknowledges a changed report itself, so that the leader never learns of the change.
func TestOnlyUnchangedReportsAreAnsweredLocally(t *testing.T) {
	is := is.New(t)
	c := &Control{state: submission.New(1000, nil)}
	worker := &pb.PoolWorker{Id: "w", BornUnixMs: 5, Pool: "p", Address: "10.0.0.9:80", FailureDomain: "d", Vm: "m", Capacity: &pb.Resources{Millicores: 1000}}
	apply := func(change *pb.SubmissionChange) { applyTo(t, c.state, change) }
	report := func(change func(*pb.PoolReport)) *pb.PoolReport {
		r := &pb.PoolReport{Worker: proto.CloneOf(worker), Sequence: 3}
		change(r)
		return r
	}
	same := report(func(*pb.PoolReport) {})
	is.True(!c.stateMatches(same)) // not registered yet
	apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Worker{Worker: worker}})
	is.True(c.stateMatches(same))
	for _, changed := range []func(*pb.PoolReport){
		func(r *pb.PoolReport) { r.Leaving = true },
		func(r *pb.PoolReport) { r.Worker.Draining = true },
		func(r *pb.PoolReport) { r.Worker.BornUnixMs = 6 },
		func(r *pb.PoolReport) { r.Worker.Address = "10.0.0.10:80" },
		func(r *pb.PoolReport) { r.Worker.Capacity.Millicores = 500 },
		func(r *pb.PoolReport) { r.Worker.Capacity.Millicores = 2000 },
		func(r *pb.PoolReport) { r.Worker.Capacity.Accelerators = 1 },
	} {
		is.True(!c.stateMatches(report(changed)))
	}
	apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{Id: "w", BornUnixMs: 5}}})
	is.True(!c.stateMatches(same)) // a late report of a worker process that has ended
}

// Guards against a leader that gets no report of a worker for long and therefore stops calling it.
func TestUnchangedReportsAreForwardedPeriodically(t *testing.T) {
	is := is.New(t)
	var f forwardedReports
	r := &pb.PoolReport{Worker: &pb.PoolWorker{Id: "w"}}
	is.True(!f.recent("w", anyTerm, time.Hour))
	f.record(r, 4, time.Hour)
	is.True(f.recent("w", anyTerm, time.Hour+forwardInterval-1))
	is.True(!f.recent("w", anyTerm, time.Hour+forwardInterval))
	is.True(!f.recent("other", anyTerm, time.Hour))
}

// Guards against a new leader that does not hear for seconds from workers which may have shrunk while there was none.
func TestUnguardedWorkersAreForwardedToNewLeader(t *testing.T) {
	is := is.New(t)
	c := &Control{state: submission.New(1000, nil)}
	entry, err := proto.Marshal(&pb.SubmissionEntry{Changes: []*pb.SubmissionChange{{Change: &pb.SubmissionChange_Config{Config: &pb.ServiceConfig{Version: 1,
		Pools: []*pb.Pool{{Name: "guards", Guards: true}, {Name: "trusts"}}}}}}})
	is.NoErr(err)
	c.state.Apply(1, 1, entry)
	for _, pool := range []string{"guards", "trusts"} {
		r := &pb.PoolReport{Worker: &pb.PoolWorker{Id: pool, Pool: pool}}
		c.forwarded.record(r, 4, time.Hour)
		is.True(c.forwarded.recent(pool, c.forwardTerm(r, 4), time.Hour))
		is.Equal(c.forwarded.recent(pool, c.forwardTerm(r, 5), time.Hour), pool == "guards")
	}
}
