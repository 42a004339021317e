package systemtest

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// leaderOf waits until the entry VM via reports a leader of the group, and returns that leader.
func (d *deployment) leaderOf(via *vm, group string, limit time.Duration) *vm {
	d.t.Helper()
	var leader string
	eventually(d.t, limit, "group "+group+" has a leader", func() bool {
		ctx, cancel := testContext()
		defer cancel()
		list, err := d.operatorClient(via).Status(ctx)
		if err != nil {
			return false
		}
		for _, v := range list.Vms {
			for _, g := range v.Groups {
				if g.Name == group && g.Role == "leader" {
					leader = v.Id
					return true
				}
			}
		}
		return false
	})
	return d.vm(leader)
}

// otherVMInDomain returns another entry VM in the failure domain of v.
func (d *deployment) otherVMInDomain(v *vm) *vm {
	for _, candidate := range d.vms {
		if candidate != v && candidate.domain == v.domain {
			return candidate
		}
	}
	d.t.Fatalf("no other entry VM in the failure domain of %s", v.id)
	return nil
}

// Guards against lost tasks and a long interruption of commits when the leader of a domain group is killed.
func TestLeaderKilledNextCommitWithinASecond(t *testing.T) {
	is := is.New(t)
	d := newSixVMDeployment(t)
	d.start()
	d.applyNote(d.vm("vm-b1"), releaseNote(1, batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	leader := d.leaderOf(d.vm("vm-b1"), "domain.a", 5*time.Second)
	before := d.submit(leader, batchTask("before", "", "a"))
	leader.process.kill()
	begin := time.Now()
	survivor := d.vm("vm-b1")
	after := d.submit(survivor, batchTask("after", "", "a"))
	took := time.Since(begin)
	t.Logf("next commit %v after the leader was killed", took)
	is.True(took < time.Second)
	for _, task := range []*pb.Task{before, after} {
		ctx, cancel := testContext()
		_, err := d.operatorClient(survivor).Task(ctx, task.Id)
		cancel()
		is.NoErr(err) // an acknowledged task survives the loss of the leader
	}
}

// Guards against a partitioned domain that stops serving, accepts notes without a quorum, or does not catch up after the
// partition.
func TestPartitionedDomainServesAndCatchesUp(t *testing.T) {
	is := is.New(t)
	d := newSixVMDeployment(t)
	d.useRelays()
	d.start()
	d.applyNote(d.vm("vm-b1"), releaseNote(1, serviceContract(), batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	d.startExecutor("executor-a", "a")
	d.startWorker("worker-a", "a")
	inside := d.vm("vm-a1")
	eventually(t, 5*time.Second, "a request inside the domain", func() bool {
		return request(inside, http.MethodGet, "/", "", nil).status == http.StatusOK
	})

	d.setPartitioned("a", true)
	time.Sleep(1500 * time.Millisecond) // covers the idle timeout of peer connections and an election
	got := request(inside, http.MethodGet, "/", "", nil)
	is.Equal(got.status, http.StatusOK) // idempotent requests are still served
	task := d.submit(inside, batchTask("cut-off", `{"run_ms": 100}`, "a"))
	d.waitTask(inside, task.Id, pb.TaskState_TASK_STATE_FINISHED, 10*time.Second)
	ctx, cancel := testContext()
	_, err := d.operatorClient(inside).ApplyNote(ctx, releaseNote(2, &pb.Contract{Name: "x", Member: "hanbit", Limits: &pb.ContractLimits{Cores: "1 core"}}))
	cancel()
	is.True(errors.Is(err, errs.ErrNoQuorum)) // a minority accepts no notes
	is.Equal(errs.From(err).Outcome, errs.OutcomeNotRun)

	outside := d.vm("vm-b1")
	d.applyNote(outside, releaseNote(2, &pb.Contract{Name: "y", Member: "hanbit", Limits: &pb.ContractLimits{Cores: "1 core"}}))
	d.setPartitioned("a", false)
	t.Logf("note in force everywhere %v after the end of the partition", d.waitNoteEverywhere(2, 5*time.Second))
}

// Guards against two accepted notes with the same number, and against a resent note that gets a different answer.
func TestConcurrentNotesWithEqualNumbers(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	contract := func(name string) *pb.Contract {
		return &pb.Contract{Name: name, Member: "hanbit", Limits: &pb.ContractLimits{Cores: "1 core"}}
	}
	const rounds = 20
	for number := uint64(1); number <= rounds; number++ {
		var wait sync.WaitGroup
		accepted := make([]bool, len(d.vms))
		for i, v := range d.vms {
			wait.Go(func() {
				ctx, cancel := testContext()
				defer cancel()
				n := releaseNote(number, contract(v.id+"-"+time.Now().Format("150405.000000000")))
				_, err := d.operatorClient(v).ApplyNote(ctx, n)
				accepted[i] = err == nil
				if err == nil { // resend, as after a lost answer
					_, again := d.operatorClient(d.vms[(i+1)%len(d.vms)]).ApplyNote(ctx, n)
					accepted[i] = again == nil
				}
			})
		}
		wait.Wait()
		count := 0
		for _, a := range accepted {
			if a {
				count++
			}
		}
		is.Equal(count, 1) // exactly one note is accepted for each number
	}
}

// Guards against lost tasks when a VM is replaced by one with an empty disk and another VM fails immediately afterwards.
func TestSecondLossRightAfterRepair(t *testing.T) {
	is := is.New(t)
	d := newSixVMDeployment(t)
	d.start()
	d.applyNote(d.vm("vm-b1"), releaseNote(1, batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	var ids []string
	for range 50 {
		ids = append(ids, d.submit(d.vm("vm-c1"), batchTask("kept", "", "a")).Id)
	}
	lost := d.vm("vm-a1")
	lost.process.kill()
	d.must(os.RemoveAll(d.dataFolder(lost)))
	for range 50 {
		ids = append(ids, d.submit(d.vm("vm-c1"), batchTask("kept", "", "a")).Id)
	}
	d.startVM(lost)
	d.waitReady(lost, 10*time.Second)
	d.vm("vm-a2").process.kill()
	for _, id := range ids {
		d.waitTask(d.vm("vm-c1"), id, pb.TaskState_TASK_STATE_QUEUED, 10*time.Second)
	}
	is.Equal(len(ids), 100)
	d.submit(d.vm("vm-c1"), batchTask("after", "", "a"))
}

// Guards against lost state and a reverted configuration when all processes are killed at once.
func TestAllProcessesKilledAndRestarted(t *testing.T) {
	d := newSixVMDeployment(t)
	d.start()
	d.applyNote(d.vm("vm-b1"), releaseNote(1, batchContract()))
	d.waitNoteEverywhere(1, time.Second) // another entry VM may take up to 1 s to apply the note
	task := d.submit(d.vm("vm-b2"), batchTask("kept", "", "a"))
	for _, v := range d.vms {
		v.process.signal(syscall.SIGKILL)
	}
	for _, v := range d.vms {
		<-v.process.done
	}
	for _, v := range d.vms {
		d.startVM(v)
	}
	for _, v := range d.vms {
		d.waitReady(v, 15*time.Second)
	}
	d.waitNoteEverywhere(1, 5*time.Second)
	d.waitTask(d.vm("vm-c2"), task.Id, pb.TaskState_TASK_STATE_QUEUED, 10*time.Second)
}

// Guards against a suspended leader that acts on outdated state when it resumes.
func TestFrozenLeaderResumes(t *testing.T) {
	is := is.New(t)
	d := newSixVMDeployment(t)
	d.start()
	d.applyNote(d.vm("vm-b1"), releaseNote(1, serviceContract(), batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	d.startWorker("worker-a1", "a")
	d.startExecutor("executor-a1", "a")
	leader := d.leaderOf(d.vm("vm-b1"), "domain.a", 5*time.Second)
	for round := range 3 {
		leader.process.signal(syscall.SIGSTOP)
		via := d.otherVMInDomain(leader)
		var key string
		var first answer
		eventually(t, 20*time.Second, "a non-idempotent request while the leader is frozen", func() bool {
			// The outcome of a request that was forwarded to the suspended VM stays unknown, so each attempt is a new request.
			key = idempotency.NewKey(time.Now())
			first = request(via, http.MethodPost, "/orders", key, []byte("felt"))
			return first.status == http.StatusOK
		})
		task := d.submit(via, batchTask("frozen", `{"run_ms": 300}`, "a"))
		leader.process.signal(syscall.SIGCONT)
		repeat := request(leader, http.MethodPost, "/orders", key, []byte("felt"))
		if repeat.status == http.StatusOK {
			is.Equal(repeat.body, first.body) // the resumed VM repeats the first answer or refuses
		} else {
			is.True(repeat.outcome != "executed")
		}
		finished := d.waitTask(via, task.Id, pb.TaskState_TASK_STATE_FINISHED, 30*time.Second)
		is.Equal(finished.Attempt, uint32(1)) // the task ran without a second attempt
		t.Logf("round %d: task finished on %s", round, finished.Worker)
		leader = d.leaderOf(d.vm("vm-b1"), "domain.a", 5*time.Second)
	}
}
