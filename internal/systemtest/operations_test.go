package systemtest

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// urgentStart is the time within which an urgent task must start.
const urgentStart = 4800 * time.Millisecond

// Guards against urgent tasks that wait for batch tasks to end, and against evicted batch tasks that are lost.
func TestUrgentWorkStartsAtFullLoad(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	d.startWorker("w1", "a", "--cores", "8 core")
	d.startWorker("w2", "a", "--cores", "8 core")
	var batch []string
	for range 16 {
		batch = append(batch, d.submit(d.vms[0], batchTask("batch", `{"run_ms": 8000, "checkpoint_every_ms": 500}`, "a")).Id)
	}
	for _, id := range batch {
		d.waitTask(d.vms[0], id, pb.TaskState_TASK_STATE_RUNNING, 10*time.Second)
	}
	for range 3 {
		spec := batchTask("urgent", `{"run_ms": 200}`, "a")
		spec.Class = pb.TaskClass_TASK_CLASS_URGENT
		spec.Resources.Millicores = 2000
		begin := time.Now()
		urgent := d.submit(d.vms[1], spec)
		ended := d.waitTask(d.vms[1], urgent.Id, pb.TaskState_TASK_STATE_FINISHED, 10*time.Second)
		took := time.UnixMilli(ended.StartedUnixMs).Sub(begin)
		t.Logf("urgent task started after %v", took)
		is.True(took < urgentStart)
	}
	for _, id := range batch {
		d.waitTask(d.vms[2], id, pb.TaskState_TASK_STATE_FINISHED, 40*time.Second)
	}
}

// Guards against a withdrawn contract whose tasks continue or lose their progress, and against a check of a note that
// predicts other effects than its application has.
func TestWithdrawnContractEndsWorkByCheckpoint(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	d.startWorker("w1", "b")
	task := d.submit(d.vms[0], batchTask("long", `{"run_ms": 60000, "checkpoint_every_ms": 300}`, "b"))
	d.waitTask(d.vms[0], task.Id, pb.TaskState_TASK_STATE_RUNNING, 10*time.Second)
	time.Sleep(time.Second)
	withdrawal := &pb.ReleaseNote{Number: 2, Author: "test", Withdraw: []string{"batch"}}
	ctx, cancel := testContext()
	defer cancel()
	check, err := d.operatorClient(d.vms[2]).CheckNote(ctx, withdrawal)
	is.NoErr(err)
	is.Equal(len(check.Effects), 1)
	is.True(slices.Contains(check.Effects[0].TasksEvicted, task.Id))
	d.waitTask(d.vms[0], task.Id, pb.TaskState_TASK_STATE_RUNNING, time.Second) // the check changed nothing
	d.applyNote(d.vms[2], withdrawal)
	ended := d.waitTask(d.vms[1], task.Id, pb.TaskState_TASK_STATE_CANCELLED, 10*time.Second)
	is.True(ended.Checkpoint != nil) // stopped with a checkpoint, not lost
}

// Guards against a drained worker that keeps or receives tasks, and against tasks lost by the drain.
func TestDrainedWorkerGivesUpItsTasks(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	d.startWorker("w1", "c")
	task := d.submit(d.vms[0], batchTask("long", `{"run_ms": 5000, "checkpoint_every_ms": 300}`, "c"))
	d.waitTask(d.vms[0], task.Id, pb.TaskState_TASK_STATE_RUNNING, 10*time.Second)
	d.startWorker("w2", "c")
	time.Sleep(500 * time.Millisecond)
	ctx, cancel := testContext()
	defer cancel()
	is.NoErr(d.operatorClient(d.vms[1]).Drain(ctx, "c", "w1", true))
	moved := d.waitTask(d.vms[0], task.Id, pb.TaskState_TASK_STATE_FINISHED, 30*time.Second)
	is.Equal(moved.Attempt, uint32(2))
	second := d.submit(d.vms[0], batchTask("next", `{"run_ms": 3000}`, "c"))
	running := d.waitTask(d.vms[0], second.Id, pb.TaskState_TASK_STATE_RUNNING, 10*time.Second)
	is.Equal(running.Worker, "w2")
}

// Guards against targets that never serve because a load balancer directs their registration to another failure domain.
func TestTargetsFindTheirDomainThroughAnyEntryVM(t *testing.T) {
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, serviceContract(), batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	elsewhere := d.vm("vm-b").httpAddress
	d.targets = append(d.targets,
		startProcess(t, d.path("e.log"), "stand-in", "executor", "--id", "e", "--domain", "a", "--service", "kit-orders",
			"--entry-vm", elsewhere, "--target-token", targetToken),
		startProcess(t, d.path("w.log"), "stand-in", "worker", "--id", "w", "--domain", "a",
			"--entry-vm", elsewhere, "--target-token", workerToken))
	eventually(t, 5*time.Second, "the executor serves its domain", func() bool {
		return request(d.vm("vm-a"), http.MethodGet, "/", "", nil).target == "e"
	})
	task := d.submit(d.vms[0], batchTask("task", `{"run_ms": 100}`, "a"))
	d.waitTask(d.vms[0], task.Id, pb.TaskState_TASK_STATE_FINISHED, 10*time.Second)
}
