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

// propertyRuns of each property keep the tests of this package below 30 s under the race detector.
const propertyRuns = "50"

// TestMain fixes the seed and number of runs of the property tests unless they are given.
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

// event is one step of a generated history.
type event struct {
	after              time.Duration
	kind               string
	vm, executor       int
	key, pad, deadline int
	idempotent         bool
	mode               int
}

const (
	worldVMs       = 3
	worldExecutors = 4
)

// history draws events. Requests are three times as frequent as each other kind.
func history(t *rapid.T, kinds ...string) []event {
	kinds = append([]string{"request", "request", "request"}, kinds...)
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			after:      time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 40, 300, 1500}).Draw(t, "after")) * time.Millisecond,
			kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
			vm:         rapid.IntRange(0, worldVMs-1).Draw(t, "vm"),
			executor:   rapid.IntRange(0, worldExecutors-1).Draw(t, "executor"),
			key:        rapid.IntRange(0, 30).Draw(t, "key"),
			pad:        rapid.SampledFrom([]int{0, 10, 40000, 200000}).Draw(t, "pad"),
			deadline:   rapid.SampledFrom([]int{15, 60, 500, 4000}).Draw(t, "deadline"),
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			mode:       rapid.IntRange(0, int(standin.ModeReset)).Draw(t, "mode"),
		}
	}), 20, 80).Draw(t, "events")
}

// play runs a history and returns the violations found.
func play(t *testing.T, events []event, f faults) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(worldExecutors, f)
		for i, e := range events {
			time.Sleep(e.after)
			w.step(i, e)
		}
		time.Sleep(12 * time.Second)
		violations = w.check()
		w.close()
	})
	return violations
}

func (w *world) step(i int, e event) {
	vm, executor := w.vms[e.vm], w.executors[e.executor]
	if strings.HasPrefix(e.kind, "request") || e.kind == "burst" {
		vm = w.balance(vm)
	}
	switch e.kind {
	case "request", "burst":
		n := 1
		if e.kind == "burst" {
			n = 25
		}
		for j := range n {
			w.send(vm, e, i*100+j)
		}
	case "mode":
		executor.SetMode(standin.Mode(e.mode))
	case "normal":
		executor.SetMode(standin.ModeNormal)
	case "long-work":
		// Longer than the time within which an executor is withdrawn.
		for _, e := range w.executors {
			e.SetWork(3 * time.Second)
		}
	case "silence":
		w.silence(vm.address, executor.address, e.deadline)
	case "silence-answers":
		w.silence(executor.address, vm.address, e.deadline)
	case "silence-vms":
		w.silence(vm.address, w.vms[(e.vm+1)%worldVMs].address, e.deadline)
	case "records-fail":
		vm.recordsFail.Store(true)
		time.AfterFunc(time.Duration(e.deadline)*time.Millisecond, func() { vm.recordsFail.Store(false) })
	case "drain-executor":
		executor.cancel()
		if w.faults.hideDraining {
			w.background(func() { w.keepUsing(vm, executor) })
		}
	case "crash-executor":
		_ = executor.Close()
		w.network.cut(executor.address)
	case "stop-vm":
		w.background(func() { w.stopVM(vm) })
	case "crash-vm":
		w.crashVM(vm)
	}
}

func (w *world) silence(from, to string, ms int) {
	w.network.setSilent(from, to, true)
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { w.network.setSilent(from, to, false) })
}

// send starts a request. Idempotent ones have a key of their own, so that their runs can be counted.
func (w *world) send(vm *worldVM, e event, n int) {
	r := result{idempotent: e.idempotent, pad: e.pad, path: fmt.Sprintf("/r%d?pad=%d", n, e.pad), key: newKey(time.Now(), 1000+n)}
	if !e.idempotent {
		r.path = fmt.Sprintf("/k%d?pad=%d", e.key, e.pad)
		r.key = newKey(time.UnixMilli(946684800000), e.key*10+e.pad%7)
	}
	w.mu.Lock()
	if w.sent == nil {
		w.sent = make(map[string]bool)
	}
	r.first = !w.sent[r.key]
	w.sent[r.key] = true
	w.mu.Unlock()
	w.background(func() { w.call(vm, r, time.Duration(e.deadline)*time.Millisecond) })
}

// check returns the violations of P1 and P4 to P7 that the executors and callers have seen.
func (w *world) check() []string {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for i, e := range w.executors {
		s := e.Stats()
		if s.SlotViolations > 0 || s.ConnViolations > 0 {
			add("P1: executor %d had %d requests and %d connections at once", i, s.MaxConcurrent, s.MaxConnections)
		}
		if s.AfterDrain > 0 {
			add("P7: executor %d got %d requests 2 s after it began to drain", i, s.AfterDrain)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	mayHaveRun := make(map[string]bool)
	for _, r := range w.results {
		mayHaveRun[r.key] = mayHaveRun[r.key] || r.outcome != "not-run"
		if reason := r.wrongAnswer(); r.whole && reason != "" {
			add("P4: %s", reason)
		}
	}
	for _, r := range w.results {
		runs := w.executions(r.key)
		if !mayHaveRun[r.key] && runs > 0 {
			add("P5: every attempt of %s was refused as not run, but it ran %d times", r.path, runs)
		}
		if !r.idempotent && runs > 1 {
			add("P6: %s ran %d times", r.path, runs)
		}
	}
	return found
}

func (w *world) executions(key string) int {
	n := 0
	for _, e := range w.executors {
		n += e.Executions(key)
	}
	return n
}

// wrongAnswer says why a whole answer is not the complete one to the request, or returns "".
func (r *result) wrongAnswer() string {
	line, padding, _ := strings.Cut(r.body, "\n")
	switch {
	case !strings.Contains(line, "path="+r.path+" "):
		return fmt.Sprintf("the answer to %s reads %.100q", r.path, line)
	case len(padding) != r.pad:
		return fmt.Sprintf("the answer to %s has %d bytes of padding instead of %d", r.path, len(padding), r.pad)
	}
	return ""
}

// interrupted returns the requests whose outcome a planned stop has made unknown.
func (w *world) interrupted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, r := range w.results {
		refused := r.outcome == "not-run" || r.err != nil && strings.Contains(r.err.Error(), errRefused.Error())
		// A repeated key may find its request in progress, or its answer too large to be kept.
		// A refused repeat cannot tell whether the key ran before, but says that it was not run itself.
		refused = refused || !r.first && strings.Contains(r.body, "this attempt was not run")
		known := strings.Contains(r.body, `"in-progress"`) || strings.Contains(r.body, `"answer-not-kept"`)
		if !r.whole && !refused && !known {
			found = append(found, fmt.Sprintf("P8: %s ended with status %d, error %v, %.200s", r.path, r.status, r.err, r.body))
		}
	}
	return found
}

var failureKinds = []string{"burst", "mode", "normal", "silence", "silence-answers", "silence-vms", "drain-executor",
	"crash-executor", "stop-vm", "crash-vm", "records-fail"}

// Guards against requests beyond the slots or connections of an executor (P1), cut or foreign answers
// (P4), requests that ran although refused as not run (P5), non-idempotent requests that run twice
// (P6) and requests to an executor that has left (P7), under failures in any combination.
func TestInvariantsUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if found := play(t, history(rt, failureKinds...), faults{}); len(found) > 0 {
			rt.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}

// Guards against a planned stop of an entry VM or executor that interrupts a request (P8): without
// failures, each request is answered whole or refused as not run.
func TestPlannedStopsInterruptNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := history(rt, "burst", "drain-executor", "stop-vm")
		var found []string
		synctest.Test(t, func(*testing.T) { found = plannedStops(events, faults{}) })
		if len(found) > 0 {
			rt.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}

func plannedStops(events []event, f faults) []string {
	w := newWorld(worldExecutors, f)
	for i, e := range events {
		time.Sleep(e.after)
		// Deadlines do not interrupt requests here.
		e.deadline = 20000
		w.step(i, e)
	}
	time.Sleep(25 * time.Second)
	found := append(w.check(), w.interrupted()...)
	w.close()
	return found
}

// Guards against checkers that cannot fail: each seeded fault must be found.
func TestCheckersFindSeededFaults(t *testing.T) {
	burst := event{kind: "burst", idempotent: true, deadline: 4000, pad: 10}
	again := event{kind: "request", after: 300 * time.Millisecond, key: 1, deadline: 4000}
	onVM := func(e event, vm int) event { e.vm = vm; return e }
	cases := []struct {
		name, finds string
		faults      faults
		events      []event
	}{
		{"lease at two entry VMs", "P1", faults{announceTwice: true}, []event{{after: 2 * time.Second, kind: "normal"}, burst, burst, onVM(burst, 1), onVM(burst, 1)}},
		{"cut answer passed on as whole", "P4", faults{cutAnswers: true}, []event{burst}},
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
				t.Fatalf("the checker of %s found nothing: %q", c.finds, found)
			}
			synctest.Test(t, func(*testing.T) { found = plannedStops(c.events, faults{}) })
			if strings.Contains(strings.Join(found, "\n"), c.finds+":") && c.finds != "P8" {
				t.Fatalf("the checker of %s found %q without a fault", c.finds, found)
			}
		})
	}
}

// hiddenDrainEvents keeps the first executor busy with requests that end at different times, drains
// it and goes on sending.
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

// claimNotSentEvents makes requests of one domain run on the owner of their key while its executors
// break connections, so that the owner has no answer.
func claimNotSentEvents() []event {
	var events []event
	for i := range worldExecutors {
		events = append(events, event{kind: "mode", executor: i, mode: int(standin.ModeReset)})
	}
	for key := range 10 {
		events = append(events, event{kind: "request", key: key, deadline: 4000})
	}
	return events
}
