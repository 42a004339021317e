package gateway

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/standin"
)

// propertyRuns is the number of runs of each property test. It keeps the tests of this package below 30 s
// under the race detector.
const propertyRuns = "50"

// TestMain sets the seed and number of runs of the property tests unless they are given as flags.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": propertyRuns} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// event is one step of a generated sequence.
type event struct {
	after              time.Duration
	kind               string
	vm, executor       int
	key, pad, deadline int
	idempotent         bool
	mode               int
}

const (
	clusterVMs       = 3
	clusterExecutors = 4
)

// drawEvents draws a sequence of events. Requests are three times as frequent as each other kind.
func drawEvents(t *rapid.T, kinds ...string) []event {
	kinds = append([]string{"request", "request", "request"}, kinds...)
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			after:      time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 40, 300, 1500}).Draw(t, "after")) * time.Millisecond,
			kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
			vm:         rapid.IntRange(0, clusterVMs-1).Draw(t, "vm"),
			executor:   rapid.IntRange(0, clusterExecutors-1).Draw(t, "executor"),
			key:        rapid.IntRange(0, 30).Draw(t, "key"),
			pad:        rapid.SampledFrom([]int{0, 10, 40000, 200000}).Draw(t, "pad"),
			deadline:   rapid.SampledFrom([]int{15, 60, 500, 4000}).Draw(t, "deadline"),
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			mode:       rapid.IntRange(0, int(standin.ModeReset)).Draw(t, "mode"),
		}
	}), 20, 80).Draw(t, "events")
}

// runEvents runs the events on a new test cluster and returns the violations found.
func runEvents(t *testing.T, events []event, f faults) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		c := newTestCluster(clusterExecutors, f)
		for i, e := range events {
			time.Sleep(e.after)
			c.step(i, e)
		}
		time.Sleep(12 * time.Second)
		violations = c.check()
		c.close()
	})
	return violations
}

// step executes the i-th event.
func (c *testCluster) step(i int, e event) {
	vm, executor := c.vms[e.vm], c.executors[e.executor]
	if strings.HasPrefix(e.kind, "request") || e.kind == "burst" {
		vm = c.pickVM(vm)
	}
	switch e.kind {
	case "request", "burst":
		n := 1
		if e.kind == "burst" {
			n = 25
		}
		for j := range n {
			c.send(vm, e, i*100+j)
		}
	case "mode":
		executor.SetMode(standin.Mode(e.mode))
	case "normal":
		executor.SetMode(standin.ModeNormal)
	case "long-work":
		// Longer than the 2 s after which check reports requests to a draining executor.
		for _, e := range c.executors {
			e.SetWork(3 * time.Second)
		}
	case "silence":
		c.silence(vm.address, executor.address, e.deadline)
	case "silence-answers":
		c.silence(executor.address, vm.address, e.deadline)
	case "silence-vms":
		c.silence(vm.address, c.vms[(e.vm+1)%clusterVMs].address, e.deadline)
	case "records-fail":
		vm.recordsFail.Store(true)
		time.AfterFunc(time.Duration(e.deadline)*time.Millisecond, func() { vm.recordsFail.Store(false) })
	case "drain-executor":
		executor.cancel()
		if c.faults.hideDraining {
			c.background(func() { c.sendDirectly(vm, executor) })
		}
	case "crash-executor":
		_ = executor.Close()
		c.network.closeConns(executor.address)
	case "stop-vm":
		c.background(func() { c.stopVM(vm) })
	case "crash-vm":
		c.crashVM(vm)
	}
}

func (c *testCluster) silence(from, to string, ms int) {
	c.network.setSilent(from, to, true)
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { c.network.setSilent(from, to, false) })
}

// send starts a request. Each idempotent one has a unique key, so that its executions can be counted.
func (c *testCluster) send(vm *testVM, e event, n int) {
	r := result{idempotent: e.idempotent, pad: e.pad, path: fmt.Sprintf("/r%d?pad=%d", n, e.pad), key: newKey(time.Now(), 1000+n)}
	if !e.idempotent {
		r.path = fmt.Sprintf("/k%d?pad=%d", e.key, e.pad)
		r.key = newKey(time.UnixMilli(946684800000), e.key*10+e.pad%7)
	}
	c.mu.Lock()
	if c.sent == nil {
		c.sent = make(map[string]bool)
	}
	r.firstAttempt = !c.sent[r.key]
	c.sent[r.key] = true
	c.mu.Unlock()
	c.background(func() { c.call(vm, r, time.Duration(e.deadline)*time.Millisecond) })
}

// check returns the violations of these guarantees that the executors and callers have seen:
//   - P1: an executor never gets more requests or connections at once than it announced.
//   - P4: a response that arrives completely is the complete response to its request.
//   - P5: a request reported as not run in every attempt was not executed.
//   - P6: a non-idempotent request is executed at most once.
//   - P7: an executor gets no requests later than 2 s after it began to drain.
func (c *testCluster) check() []string {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for i, e := range c.executors {
		s := e.Stats()
		if s.SlotViolations > 0 || s.ConnViolations > 0 {
			add("P1: executor %d had %d requests and %d connections at once", i, s.MaxConcurrent, s.MaxConnections)
		}
		if s.AfterDrain > 0 {
			add("P7: executor %d got %d requests 2 s after it began to drain", i, s.AfterDrain)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	mayHaveRun := make(map[string]bool)
	for _, r := range c.results {
		mayHaveRun[r.key] = mayHaveRun[r.key] || r.outcome != "not-run"
		if reason := r.wrongResponse(); r.complete && reason != "" {
			add("P4: %s", reason)
		}
	}
	for _, r := range c.results {
		runs := c.executions(r.key)
		if !mayHaveRun[r.key] && runs > 0 {
			add("P5: every attempt of %s was reported as not run, but it was executed %d times", r.path, runs)
		}
		if !r.idempotent && runs > 1 {
			add("P6: non-idempotent request %s was executed %d times", r.path, runs)
		}
	}
	return found
}

func (c *testCluster) executions(key string) int {
	n := 0
	for _, e := range c.executors {
		n += e.Executions(key)
	}
	return n
}

// wrongResponse returns why a response is not the complete response to the request, or "".
func (r *result) wrongResponse() string {
	line, padding, _ := strings.Cut(r.body, "\n")
	switch {
	case !strings.Contains(line, "path="+r.path+" "):
		return fmt.Sprintf("the response to %s begins with %.100q", r.path, line)
	case len(padding) != r.pad:
		return fmt.Sprintf("the response to %s has %d bytes of padding instead of %d", r.path, len(padding), r.pad)
	}
	return ""
}

// interrupted returns the violations of P8: without failures, planned stops of entry VMs and executors
// interrupt no request.
func (c *testCluster) interrupted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for _, r := range c.results {
		refused := r.outcome == "not-run" || r.err != nil && strings.Contains(r.err.Error(), errRefused.Error())
		// A request with a repeated key may find the first one in progress, or its response too large to be
		// stored. If it is refused, its outcome is unknown, but the error says that this attempt was not run.
		refused = refused || !r.firstAttempt && strings.Contains(r.body, "this attempt was not run")
		known := strings.Contains(r.body, `"in-progress"`) || strings.Contains(r.body, `"answer-not-kept"`)
		if !r.complete && !refused && !known {
			found = append(found, fmt.Sprintf("P8: %s ended with status %d, error %v, %.200s", r.path, r.status, r.err, r.body))
		}
	}
	return found
}

var failureKinds = []string{"burst", "mode", "normal", "silence", "silence-answers", "silence-vms", "drain-executor",
	"crash-executor", "stop-vm", "crash-vm", "records-fail"}

// Guards against violations of P1 and P4 to P7 (see check) under any combination of failures.
func TestInvariantsUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if found := runEvents(t, drawEvents(rt, failureKinds...), faults{}); len(found) > 0 {
			rt.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}

// Guards against planned stops of entry VMs or executors that interrupt requests (P8). Without failures
// each request gets a complete response or is refused as not run.
func TestPlannedStopsInterruptNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt, "burst", "drain-executor", "stop-vm")
		var found []string
		synctest.Test(t, func(*testing.T) { found = plannedStops(events, faults{}) })
		if len(found) > 0 {
			rt.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}

// plannedStops runs events with long deadlines and returns the violations of check and interrupted.
func plannedStops(events []event, f faults) []string {
	c := newTestCluster(clusterExecutors, f)
	for i, e := range events {
		time.Sleep(e.after)
		// Long enough that no deadline interrupts a request.
		e.deadline = 20000
		c.step(i, e)
	}
	time.Sleep(25 * time.Second)
	found := append(c.check(), c.interrupted()...)
	c.close()
	return found
}

// Guards against checks that cannot fail: each injected fault must be found.
func TestChecksFindInjectedFaults(t *testing.T) {
	burst := event{kind: "burst", idempotent: true, deadline: 4000, pad: 10}
	again := event{kind: "request", after: 300 * time.Millisecond, key: 1, deadline: 4000}
	onVM := func(e event, vm int) event { e.vm = vm; return e }
	cases := []struct {
		name, finds string
		faults      faults
		events      []event
	}{
		{"lease at two entry VMs", "P1", faults{announceTwice: true}, []event{{after: 2 * time.Second, kind: "normal"}, burst, burst, onVM(burst, 1), onVM(burst, 1)}},
		{"truncated response passed on as complete", "P4", faults{truncateResponses: true}, []event{burst}},
		{"sent request reported as not sent", "P5", faults{claimNotSent: true}, claimNotSentEvents()},
		{"forgotten record", "P6", faults{forgetRecords: true}, []event{again, again, again, onVM(again, 2), onVM(again, 2)}},
		{"hidden drain", "P7", faults{hideDraining: true}, hiddenDrainEvents()},
		{"abrupt stop", "P8", faults{abruptStop: true}, []event{burst, {after: 10 * time.Millisecond, kind: "stop-vm"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var found []string
			synctest.Test(t, func(*testing.T) { found = plannedStops(c.events, c.faults) })
			if !strings.Contains(strings.Join(found, "\n"), c.finds+":") {
				t.Fatalf("the check of %s did not find the injected fault: %q", c.finds, found)
			}
			synctest.Test(t, func(*testing.T) { found = plannedStops(c.events, faults{}) })
			if strings.Contains(strings.Join(found, "\n"), c.finds+":") && c.finds != "P8" {
				t.Fatalf("the check of %s found %q without an injected fault", c.finds, found)
			}
		})
	}
}

// hiddenDrainEvents returns events that keep the executors busy with requests that end at different
// times, drain the first executor and go on sending.
func hiddenDrainEvents() []event {
	events := []event{{kind: "long-work"}}
	for i := range 60 {
		if i == 20 {
			events = append(events, event{kind: "drain-executor"})
		}
		events = append(events, event{kind: "request", after: 100 * time.Millisecond, idempotent: true, deadline: 4000})
	}
	return events
}

// claimNotSentEvents returns requests that are partly forwarded to the owner of their key, while all
// executors break connections, so that the owner has no response.
func claimNotSentEvents() []event {
	var events []event
	for i := range clusterExecutors {
		events = append(events, event{kind: "mode", executor: i, mode: int(standin.ModeReset)})
	}
	for key := range 10 {
		events = append(events, event{kind: "request", key: key, deadline: 4000})
	}
	return events
}
