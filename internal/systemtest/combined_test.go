package systemtest

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
)

// The seed determines the failures and their order, but the processes are not deterministic.
var (
	combinedSeed   = flag.Uint64("combined.seed", 20261204, "seed of TestFailuresTogetherAndTwice")
	combinedRounds = flag.Int("combined.rounds", 4, "pairs of failures in TestFailuresTogetherAndTwice")
)

// attemptSpan is the time during which an attempt ran on a worker.
type attemptSpan struct {
	worker     string
	attempt    uint32
	begin, end time.Time
}

// history records the runs of attempts on workers and the answers to callers.
type history struct {
	mu      sync.Mutex
	spans   map[string][]*attemptSpan // by task
	answers map[string][]answer       // by idempotency key
}

func (h *history) recordEvent(worker string, event any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch e := event.(type) {
	case standin.Action:
		if e.Op == pb.WorkerOp_WORKER_OP_START {
			h.spans[e.ID.Task] = append(h.spans[e.ID.Task], &attemptSpan{worker: worker, attempt: e.ID.Attempt, begin: time.Now()})
		}
	case *pb.AttemptReport:
		if !domain.EndsAttempt(e.Event) {
			return
		}
		for _, s := range h.spans[e.Task] {
			if s.worker == worker && s.attempt == e.Attempt && s.end.IsZero() {
				s.end = time.Now()
			}
		}
	}
}

func (h *history) recordAnswer(key string, a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[key] = append(h.answers[key], a)
}

// violations returns the violations of the invariants in the history. executions returns how often an idempotency key ran.
//
//   - P2: two attempts of a task do not overlap.
//   - P4: a successful answer is that of the request with the same key, which ran.
//   - P5: a request whose last answer says not-run did not run.
//   - P6: a key runs at most once.
func (h *history) violations(executions func(key string) int) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for task, spans := range h.spans {
		slices.SortFunc(spans, func(a, b *attemptSpan) int { return a.begin.Compare(b.begin) })
		for i := 1; i < len(spans); i++ {
			if spans[i-1].end.IsZero() || spans[i].begin.Before(spans[i-1].end) {
				report("P2: task %s: attempt %d on %s began before attempt %d on %s had ended", task, spans[i].attempt,
					spans[i].worker, spans[i-1].attempt, spans[i-1].worker)
			}
		}
	}
	for key, answers := range h.answers {
		ran := executions(key)
		if ran > 1 {
			report("P6: key %s ran %d times", key, ran)
		}
		for _, a := range answers {
			if a.status == http.StatusOK && (ran == 0 || !strings.Contains(a.body, "path=/"+key)) {
				report("P4: key %s ran %d times and was answered %q", key, ran, a.body)
			}
		}
		last := answers[len(answers)-1]
		if ran > 0 && last.err == nil && last.outcome == "not-run" {
			report("P5: key %s ran, the last answer said not run: %q", key, last.body)
		}
	}
	return found
}

// startCallers starts callers that send non-idempotent requests until ctx ends. Each request is sent up to three times, to
// different entry VMs.
func (h *history) startCallers(ctx context.Context, d *deployment, count int) *sync.WaitGroup {
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				key := idempotency.NewKey(time.Now())
				for try := range 3 {
					got := requestAttempt(d.vms[(n+try)%len(d.vms)], http.MethodPost, "/"+key, key, []byte("felt"), try+1)
					h.recordAnswer(key, got)
					if got.status == http.StatusOK {
						break
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return &wait
}

// failure is a failure that the system must tolerate, with functions to inject and to undo it.
type failure struct {
	name         string
	inject, undo func(d *deployment, v *vm)
	// killsProcess is true if entry VMs without a disk lose their state, losesDisk if all entry VMs do.
	killsProcess, losesDisk bool
}

func (f failure) losesState(v *vm) bool { return f.losesDisk || f.killsProcess && !v.disk }

// shareGroup reports whether some group has both entry VMs as voters.
func (d *deployment) shareGroup(a, b *vm) bool {
	for _, voters := range append([][]string{d.configVoters}, slices.Collect(maps.Values(d.voters))...) {
		if slices.Contains(voters, a.id) && slices.Contains(voters, b.id) {
			return true
		}
	}
	return false
}

var failures = []failure{
	{"kill", func(_ *deployment, v *vm) { v.process.kill() }, func(d *deployment, v *vm) { d.startVM(v) }, true, false},
	{"freeze", func(_ *deployment, v *vm) { v.process.signal(syscall.SIGSTOP) }, func(_ *deployment, v *vm) { v.process.signal(syscall.SIGCONT) }, false, false},
	{"partition", func(d *deployment, v *vm) { d.setPartitioned(v.domain, true) }, func(d *deployment, v *vm) { d.setPartitioned(v.domain, false) }, false, false},
	{"lose the disk", func(d *deployment, v *vm) { v.process.kill(); os.RemoveAll(d.dataFolder(v)) }, func(d *deployment, v *vm) { d.startVM(v) }, true, true},
	{"graceful stop", func(d *deployment, v *vm) { v.process.terminate(d.t, 30*time.Second) }, func(d *deployment, v *vm) { d.startVM(v) }, true, false},
	{"kill a frozen process", func(_ *deployment, v *vm) { v.process.signal(syscall.SIGSTOP) }, func(d *deployment, v *vm) { v.process.kill(); d.startVM(v) }, true, false},
}

// Guards against violations of P2 to P6 that only overlapping or repeated failures cause. In each round, a second failure
// starts in another failure domain during the first.
func TestFailuresTogetherAndTwice(t *testing.T) {
	d := newSixVMDeployment(t)
	d.useRelays()
	d.timingYAML = "timing: {attemptLease: 3s}\n"
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, serviceContract(), batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	h := &history{spans: make(map[string][]*attemptSpan), answers: make(map[string][]answer)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	executors := startTargets(ctx, d, h)
	eventually(t, 10*time.Second, "a request", func() bool {
		return request(d.vms[0], http.MethodGet, "/", "", nil).status == http.StatusOK
	})
	load, stopLoad := context.WithCancel(ctx)
	wait := h.startCallers(load, d, 6)
	var ids []string
	for i, v := range d.vms {
		for range 3 {
			ids = append(ids, d.submit(v, batchTask(fmt.Sprint("t", i), `{"run_ms": 6000, "checkpoint_every_ms": 500}`, v.domain)).Id)
		}
	}
	random := rand.New(rand.NewPCG(*combinedSeed, 1))
	for round := range *combinedRounds {
		first, second := d.vms[random.IntN(2)], d.vms[2+random.IntN(4)]
		a, b := failures[random.IntN(len(failures))], failures[random.IntN(len(failures))]
		if a.losesState(first) && b.losesState(second) && d.shareGroup(first, second) {
			// A group in which two of three voters lost their state needs repair by an operator (docs/design.md, section 3).
			b = failures[1]
		}
		t.Logf("round %d: %s of %s, then %s of %s", round, a.name, first.id, b.name, second.id)
		a.inject(d, first)
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
		b.inject(d, second)
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
		a.undo(d, first)
		b.undo(d, second)
		for _, v := range d.vms {
			d.waitReady(v, 20*time.Second)
		}
	}
	for _, id := range ids {
		d.waitTask(d.vms[0], id, pb.TaskState_TASK_STATE_FINISHED, 60*time.Second)
	}
	stopLoad()
	wait.Wait()
	found := h.violations(func(key string) int {
		total := 0
		for _, e := range executors {
			total += e.Executions(key)
		}
		return total
	})
	ok := 0
	for _, answers := range h.answers {
		if answers[len(answers)-1].status == http.StatusOK {
			ok++
		}
	}
	t.Logf("%d keys, %d answered; %d tasks", len(h.answers), ok, len(ids))
	for _, violation := range found {
		t.Error(violation)
	}
	if ok < 200 {
		t.Errorf("only %d requests were answered, too few for meaningful checks", ok)
	}
}

// startTargets runs two executors and two workers for each failure domain in the test process, to record their runs.
func startTargets(ctx context.Context, d *deployment, h *history) []*standin.Executor {
	var executors []*standin.Executor
	for _, name := range []string{"a", "b", "c"} {
		for i := range 2 {
			e := standin.NewExecutor(standin.ExecutorOptions{ID: fmt.Sprintf("executor-%s%d", name, i), Domain: name, Rack: "r",
				Service: "kit-orders", EntryVMs: d.entryAddresses(name), Token: targetToken, Work: 10 * time.Millisecond})
			executors = append(executors, e)
			go func() { _ = e.Run(ctx) }()
			id := fmt.Sprintf("worker-%s%d", name, i)
			w := standin.NewWorker(standin.WorkerOptions{ID: id, FailureDomain: name, Rack: "r", Guards: true, Token: workerToken,
				Capacity: &pb.Resources{Millicores: 32000, MemoryBytes: 125e9}, EntryVMs: withScheme(d.entryAddresses(name)),
				Observe: func(event any) { h.recordEvent(id, event) }})
			go func() { _ = w.Run(ctx) }()
		}
	}
	return executors
}

func withScheme(addresses []string) []string {
	var urls []string
	for _, address := range addresses {
		urls = append(urls, "http://"+address)
	}
	return urls
}

// Guards against history checks that cannot fail.
func TestHistoryChecksReportSeededFaults(t *testing.T) {
	now := time.Now()
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	h := &history{
		spans: map[string][]*attemptSpan{"t": {{worker: "w1", attempt: 1, begin: at(0), end: at(5)}, {worker: "w2", attempt: 2, begin: at(4), end: at(9)}}},
		answers: map[string][]answer{
			"twice":   {{status: 200, body: "path=/twice"}},
			"not-run": {{status: 503, outcome: "not-run"}},
			"mixed":   {{status: 200, body: "path=/other"}},
		},
	}
	found := strings.Join(h.violations(func(key string) int { return map[string]int{"twice": 2, "not-run": 1, "mixed": 1}[key] }), "\n")
	for _, invariant := range []string{"P2:", "P4:", "P5:", "P6:"} {
		if !strings.Contains(found, invariant) {
			t.Errorf("no violation of %s in %q", invariant, found)
		}
	}
}
