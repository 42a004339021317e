package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Guards against news of a worker that a control VM acknowledges by itself, so that the leader never hears of it.
func TestOnlyReportsWithoutNewsAreAnsweredHere(t *testing.T) {
	is := is.New(t)
	c := &Control{state: submission.New(1000, nil)}
	worker := &pb.PoolWorker{Id: "w", BornUnixMs: 5, Pool: "p", Address: "10.0.0.9:80", FailureDomain: "d", Vm: "m", Capacity: &pb.Resources{Millicores: 1000}}
	apply := func(change *pb.SubmissionChange) {
		entry, err := proto.Marshal(&pb.SubmissionEntry{Changes: []*pb.SubmissionChange{change}})
		is.NoErr(err)
		c.state.Apply(1, 1, entry)
	}
	report := func(change func(*pb.PoolReport)) *pb.PoolReport {
		r := &pb.PoolReport{Worker: proto.CloneOf(worker), Sequence: 3}
		change(r)
		return r
	}
	same := report(func(*pb.PoolReport) {})
	is.True(!c.knows(same)) // not registered yet
	apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Worker{Worker: worker}})
	is.True(c.knows(same))
	for _, news := range []func(*pb.PoolReport){
		func(r *pb.PoolReport) { r.Leaving = true },
		func(r *pb.PoolReport) { r.Worker.Draining = true },
		func(r *pb.PoolReport) { r.Worker.BornUnixMs = 6 },
		func(r *pb.PoolReport) { r.Worker.Address = "10.0.0.10:80" },
	} {
		is.True(!c.knows(report(news)))
	}
	apply(&pb.SubmissionChange{Change: &pb.SubmissionChange_Gone{Gone: &pb.WorkerGone{Id: "w", BornUnixMs: 5}}})
	is.True(!c.knows(same)) // a late report of a life that is over
}

// Guards against a leader that hears nothing of a worker for long, and then calls it no more.
func TestReportsArePassedOnAtTimes(t *testing.T) {
	is := is.New(t)
	var p reports
	r := &pb.PoolReport{Worker: &pb.PoolWorker{Id: "w"}}
	is.True(!p.recent("w", time.Hour))
	p.note(r, time.Hour)
	is.True(p.recent("w", time.Hour+passEvery-1))
	is.True(!p.recent("w", time.Hour+passEvery))
	is.True(!p.recent("other", time.Hour))
}
