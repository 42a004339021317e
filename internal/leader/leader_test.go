package leader

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
	"github.com/matryer/is"
)

const testLease = 10 * time.Second

func testSpec(millicores, runMs int64) *pb.TaskSpec {
	return &pb.TaskSpec{Member: "hanbit", Contract: "sheets", Kind: "pattern", Class: pb.TaskClass_TASK_CLASS_BATCH,
		Resources: &pb.Resources{Millicores: millicores, MemoryBytes: 1 << 20}, IdempotencyKey: domain.NewKey(time.Now()),
		Payload: standin.Work{RunMs: runMs}.Payload()}
}

func simWorker(network *simNetwork, id string, observe func(any)) *standin.Worker {
	return standin.NewWorker(standin.WorkerOptions{ID: id, FailureDomain: "d1", Guards: true, Transport: network,
		EntryVMs: []string{"n0", "n1", "n2"}, Observe: observe,
		Capacity: &pb.Resources{Millicores: 4000, MemoryBytes: 1 << 30}})
}

// Guards against a break anywhere on the path from submit to the acknowledged end of a task.
func TestTasksRunToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer time.Sleep(time.Minute) // lets delayed messages end
		defer running.Wait()
		defer cancel()
		c := newSimCluster(1, 3, func() Planner { return NewFirstFit() }, testLease)
		network := &simNetwork{cluster: c}
		c.run(ctx, &running)
		c.elect(0, 0)
		for n := range 2 {
			running.Go(func() { _ = simWorker(network, fmt.Sprintf("w%d", n), nil).Run(ctx) })
		}
		leader := c.nodes[0].leader
		for range 20 {
			_, err := leader.Submit(ctx, testSpec(1000, 2000))
			is.NoErr(err)
		}
		time.Sleep(20 * time.Second)
		for _, task := range c.nodes[0].state.View().Tasks(domain.Filter{}) {
			is.Equal(task.GetState(), pb.TaskState_TASK_STATE_FINISHED)
			is.Equal(task.GetAttempt(), uint32(1))
		}
	})
}
