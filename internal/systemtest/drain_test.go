package systemtest

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// load sends requests to all entry VMs until it is stopped and collects the answers.
type load struct {
	stop        chan struct{}
	wait        sync.WaitGroup
	mu          sync.Mutex
	interrupted []answer // the connection was closed or the answer was incomplete
	ok          atomic.Int64
	refusals    map[string]int // by outcome
	// unknownRefusals holds the first refusals with an unknown outcome.
	unknownRefusals []string
}

// startLoad starts the given number of callers. excluded reports whether the simulated load balancer currently sends no
// requests to an entry VM.
func startLoad(d *deployment, callers int, excluded func(*vm) bool) *load {
	l := &load{stop: make(chan struct{}), refusals: make(map[string]int)}
	for i := range callers {
		l.wait.Go(func() {
			for n := i; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				v := d.vms[n%len(d.vms)]
				if excluded(v) {
					continue
				}
				l.sendRequest(v, n)
			}
		})
	}
	return l
}

func (l *load) sendRequest(v *vm, n int) {
	method, key := http.MethodGet, ""
	if n%2 == 0 {
		method, key = http.MethodPost, idempotency.NewKey(time.Now())
	}
	got := requestAttempt(v, method, "/load", key, []byte("felt"), 1)
	switch {
	case got.err != nil:
		l.mu.Lock()
		l.interrupted = append(l.interrupted, got)
		l.mu.Unlock()
	case got.status == http.StatusOK && strings.Contains(got.body, "path=/load"):
		l.ok.Add(1)
	default:
		l.mu.Lock()
		l.refusals[got.outcome]++
		if got.outcome == "unknown" && len(l.unknownRefusals) < 10 {
			l.unknownRefusals = append(l.unknownRefusals, v.id+" "+method+" "+got.body)
		}
		l.mu.Unlock()
	}
}

func (l *load) stopAndWait() {
	close(l.stop)
	l.wait.Wait()
}

// Guards against requests interrupted by the planned stop of an entry VM (P8). The load balancer
// follows readiness with a delay, so requests still arrive for a while after SIGTERM.
func TestGracefulStopOfAnEntryVMInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	d := newSixVMDeployment(t)
	d.start()
	d.applyNote(d.vm("vm-b1"), releaseNote(1, serviceContract()))
	d.waitNoteEverywhere(1, time.Second)
	for _, name := range []string{"a", "b", "c"} {
		d.startExecutor("executor-"+name+"1", name, "--work", "50ms")
		d.startExecutor("executor-"+name+"2", name, "--work", "50ms")
	}
	var leaving atomic.Pointer[vm]
	l := startLoad(d, 12, func(v *vm) bool { return v == leaving.Load() })
	time.Sleep(3 * time.Second)
	for _, id := range []string{"vm-a1", "vm-b2"} {
		v := d.vm(id)
		go func() {
			time.Sleep(300 * time.Millisecond) // the probe interval of the load balancer
			leaving.Store(v)
		}()
		v.process.terminate(t, 20*time.Second)
		d.startVM(v)
		d.waitReady(v, 10*time.Second)
		leaving.Store(nil)
	}
	l.stopAndWait()
	t.Logf("answered %d, refusals by outcome %v %q", l.ok.Load(), l.refusals, l.unknownRefusals)
	is.Equal(len(l.interrupted), 0)    // no request was interrupted
	is.Equal(l.refusals["unknown"], 0) // a planned stop leaves no outcome unknown
	is.True(l.ok.Load() > 500)
}

// Guards against requests interrupted by the planned stop of an executor, and against requests sent to it
// more than 2 s after it began to drain (P7, P8).
func TestGracefulStopOfAnExecutorInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, serviceContract()))
	d.waitNoteEverywhere(1, time.Second)
	leaving := d.startExecutor("executor-leaving", "a", "--work", "50ms")
	for _, name := range []string{"a", "b", "c"} {
		d.startExecutor("executor-"+name, name, "--work", "50ms")
	}
	l := startLoad(d, 12, func(*vm) bool { return false })
	time.Sleep(3 * time.Second)
	leaving.terminate(t, 10*time.Second)
	time.Sleep(time.Second)
	l.stopAndWait()
	t.Logf("answered %d, refusals by outcome %v %q", l.ok.Load(), l.refusals, l.unknownRefusals)
	is.Equal(len(l.interrupted), 0)
	is.Equal(l.refusals["unknown"], 0)
}

// Guards against a task that is lost or runs twice at the same time when its worker is killed (P2, P3).
func TestTaskOfAKilledWorkerResumesOnce(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.timingYAML = "timing: {attemptLease: 2s}\n"
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	workers := map[string]*process{"w1": d.startWorker("w1", "a"), "w2": d.startWorker("w2", "a")}
	task := d.submit(d.vms[0], batchTask("long", `{"run_ms": 4000, "checkpoint_every_ms": 200}`, "a"))
	running := d.waitTask(d.vms[0], task.Id, pb.TaskState_TASK_STATE_RUNNING, 10*time.Second)
	time.Sleep(time.Second)
	workers[running.Worker].kill()
	killed := time.Now()
	again := time.Duration(0)
	eventually(t, 10*time.Second, "the second attempt runs", func() bool {
		ctx, cancel := testContext()
		defer cancel()
		now, err := d.operatorClient(d.vms[1]).Task(ctx, task.Id)
		again = time.Since(killed)
		return err == nil && now.Attempt == 2 && now.State == pb.TaskState_TASK_STATE_RUNNING
	})
	is.True(again >= 2*time.Second) // not before the lease of the killed worker expired
	finished := d.waitTask(d.vms[2], task.Id, pb.TaskState_TASK_STATE_FINISHED, 20*time.Second)
	is.Equal(finished.Attempt, uint32(2))
	t.Logf("second attempt %v after the kill, resumed from %v", again, finished.Checkpoint)
}
