package systemtest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

func releaseNote(number uint64, contracts ...*pb.Contract) *pb.ReleaseNote {
	return &pb.ReleaseNote{Number: number, Author: "test", Add: contracts}
}

func serviceContract() *pb.Contract {
	return &pb.Contract{Name: "kit", Member: "hanbit", Limits: &pb.ContractLimits{RequestRate: "10000 request/s"},
		Terms: &pb.ServiceTerms{Service: "kit-orders", Deadline: "5 s", Weight: 1}}
}

func batchContract() *pb.Contract {
	return &pb.Contract{Name: "batch", Member: "hanbit", Limits: &pb.ContractLimits{Cores: "96 core", Memory: "300 GB", Tasks: "3000 task"},
		Terms: &pb.ServiceTerms{Urgent: true}}
}

// answer holds the answer to a request, or the error if there was none. outcome and target are response headers.
type answer struct {
	status  int
	outcome string
	target  string
	body    string
	err     error
}

// request sends a request of the member hanbit through an entry VM. If it has a key, it is marked as a repeated attempt.
func request(v *vm, method, path, key string, body []byte) answer {
	return requestAttempt(v, method, path, key, body, 2)
}

// requestAttempt sends a request like request does, but with the given attempt number.
func requestAttempt(v *vm, method, path, key string, body []byte, attempt int) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.httpAddress+"/v1/services/kit-orders"+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Lentilyard-Attempt", strconv.Itoa(attempt))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, outcome: resp.Header.Get("Lentilyard-Outcome"),
		target: resp.Header.Get("Lentilyard-Target"), body: string(content), err: err}
}

func (d *deployment) applyNote(v *vm, n *pb.ReleaseNote) {
	d.t.Helper()
	ctx, cancel := testContext()
	defer cancel()
	if _, err := d.operatorClient(v).ApplyNote(ctx, n); err != nil {
		d.t.Fatalf("apply note %d at %s: %v", n.Number, v.id, err)
	}
}

func (d *deployment) waitNoteEverywhere(number uint64, limit time.Duration) time.Duration {
	d.t.Helper()
	return eventually(d.t, limit, "the note is in force on every entry VM", func() bool {
		ctx, cancel := testContext()
		defer cancel()
		status, err := d.operatorClient(d.vms[0]).NoteStatus(ctx, number)
		if err != nil || len(status.Vms) != len(d.vms) {
			return false
		}
		for _, v := range status.Vms {
			if !v.InForce {
				return false
			}
		}
		return true
	})
}

func (d *deployment) waitTask(v *vm, id string, state pb.TaskState, limit time.Duration) *pb.Task {
	d.t.Helper()
	var last *pb.Task
	eventually(d.t, limit, "task "+id+" is "+state.String(), func() bool {
		ctx, cancel := testContext()
		defer cancel()
		task, err := d.operatorClient(v).Task(ctx, id)
		if err != nil {
			return false
		}
		last = task
		return task.State == state
	})
	return last
}

func batchTask(name, payload, home string) *pb.TaskSpec {
	return &pb.TaskSpec{Name: name, Member: "hanbit", Contract: "batch", Kind: "cutting", Class: pb.TaskClass_TASK_CLASS_BATCH,
		Resources: &pb.Resources{Millicores: 1000, MemoryBytes: 1 << 28}, ExpectedRunMs: 2000,
		IdempotencyKey: idempotency.NewKey(time.Now()), FailureDomain: home, Payload: []byte(payload)}
}

func (d *deployment) submit(v *vm, spec *pb.TaskSpec) *pb.Task {
	d.t.Helper()
	ctx, cancel := testContext()
	defer cancel()
	task, err := d.operatorClient(v).SubmitTask(ctx, spec)
	if err != nil {
		d.t.Fatalf("submit %s at %s: %v", spec.Name, v.id, err)
	}
	return task
}

// Guards against failures of the basic operations with separate processes: three entry VMs
// in three failure domains, with an executor and two workers in each.
func TestEndToEndThroughSeparateProcesses(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	for _, v := range d.vms {
		d.startExecutor("executor-"+v.domain, v.domain)
		d.startWorker("worker-"+v.domain+"1", v.domain)
		d.startWorker("worker-"+v.domain+"2", v.domain)
	}
	d.applyNote(d.vms[1], releaseNote(1, serviceContract(), batchContract()))
	t.Logf("note in force on all entry VMs after %v", d.waitNoteEverywhere(1, time.Second))
	for _, v := range d.vms {
		eventually(t, 5*time.Second, "a request through "+v.id, func() bool {
			got := request(v, http.MethodGet, "/catalogue", "", nil)
			return got.status == http.StatusOK && got.outcome == "executed"
		})
		eventually(t, 5*time.Second, v.id+" reaches all entry VMs", func() bool {
			ctx, cancel := testContext()
			defer cancel()
			status, err := d.operatorClient(v).Status(ctx)
			return err == nil && len(status.GetUnreachable()) == 0
		})
	}
	key := idempotency.NewKey(time.Now())
	first := request(d.vms[0], http.MethodPost, "/orders", key, []byte("felt"))
	is.Equal(first.status, http.StatusOK)
	for _, v := range d.vms {
		repeat := request(v, http.MethodPost, "/orders", key, []byte("felt"))
		is.Equal(repeat.body, first.body) // every entry VM returns the first answer for a repeated key
	}

	task := d.submit(d.vms[2], batchTask("long", `{"run_ms": 4000, "checkpoint_every_ms": 200}`, "a"))
	d.waitTask(d.vms[1], task.Id, pb.TaskState_TASK_STATE_RUNNING, 5*time.Second)
	time.Sleep(time.Second)
	ctx, cancel := testContext()
	defer cancel()
	_, err := d.operatorClient(d.vms[1]).EvictTask(ctx, task.Id, "test")
	is.NoErr(err)
	finished := d.waitTask(d.vms[0], task.Id, pb.TaskState_TASK_STATE_FINISHED, 20*time.Second)
	is.Equal(finished.Attempt, uint32(2))   // evicted once, resumed once
	is.Equal(finished.Evictions, uint32(1)) // the eviction is counted
}
