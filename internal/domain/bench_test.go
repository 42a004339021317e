package domain

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

const benchBatch = 256

// newFilledState returns a state with 1200 workers of ample capacity and the given number of queued tasks.
func newFilledState(tasks int) *applier {
	a := &applier{state: New("d1", Limits{MaxTasks: 1 << 30, MaxRecordsPerMember: 1 << 30, MaxRecords: 1 << 30, MaxAnswerBytes: 1 << 40})}
	for w := range 1200 {
		c := register(fmt.Sprint("w", w), "a", 0)
		c.GetRegisterWorker().Worker.Capacity = &pb.Resources{Millicores: 1 << 40, MemoryBytes: 1 << 40}
		a.apply(c)
	}
	a.fill(tasks, func(n int) *pb.DomainCommand { return submit(n, 1000, "") })
	return a
}

// fill applies command(0) to command(n-1) in batches.
func (a *applier) fill(n int, command func(int) *pb.DomainCommand) {
	for from := 0; from < n; from += benchBatch {
		a.apply(batchOf(from, min(n, from+benchBatch), command))
	}
}

func batchOf(from, to int, command func(int) *pb.DomainCommand) *pb.DomainCommand {
	batch := &pb.CommandBatch{}
	for n := from; n < to; n++ {
		batch.Commands = append(batch.Commands, command(n))
	}
	return &pb.DomainCommand{Command: &pb.DomainCommand_Batch{Batch: batch}}
}

// BenchmarkApply measures submissions, and cycles of three commands (placement, started report, stopped report with a
// checkpoint), in states with different numbers of tasks. An entry holds one command or a batch.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 100_000} {
		for _, batch := range []int{1, benchBatch} {
			b.Run(fmt.Sprintf("submit/tasks=%d/batch=%d", size, batch), func(b *testing.B) {
				benchApply(b, newFilledState(size), batch, func(n int) *pb.DomainCommand { return submit(1<<30+n, 1000, "") })
			})
			b.Run(fmt.Sprintf("cycle/tasks=%d/batch=%d", size, batch), func(b *testing.B) {
				benchApply(b, newFilledState(size), batch, cycle(size)...)
			})
		}
	}
}

// cycle returns functions for the commands that place, start and stop another attempt of task n%size.
func cycle(size int) []func(int) *pb.DomainCommand {
	event := func(event pb.AttemptEvent, sequence uint64) func(int) *pb.DomainCommand {
		return func(n int) *pb.DomainCommand {
			return reports(fmt.Sprint("w", n%1200), uint64(n%1200+1), report(n%size, uint32(n/size+1), event, sequence))
		}
	}
	return []func(int) *pb.DomainCommand{
		func(n int) *pb.DomainCommand {
			return place(placement(n%size, uint32(n/size+1), fmt.Sprint("w", n%1200), uint64(n%1200+1)))
		},
		event(pb.AttemptEvent_ATTEMPT_EVENT_STARTED, 0),
		event(pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, 1),
	}
}

func benchApply(b *testing.B, a *applier, batch int, phases ...func(int) *pb.DomainCommand) {
	b.ReportAllocs()
	var entries [][]byte
	for from := 0; from < b.N; from += batch {
		for _, phase := range phases {
			c := batchOf(from, min(b.N, from+batch), phase)
			c.UnixMs = testNow
			entry, err := proto.Marshal(c)
			if err != nil {
				b.Fatal(err)
			}
			entries = append(entries, entry)
		}
	}
	b.ResetTimer()
	for _, entry := range entries {
		a.index++
		result := a.state.Apply(a.index, 1, entry).(Result)
		if err := firstError(result); err != nil {
			b.Fatal(err)
		}
	}
}

func firstError(r Result) error {
	if r.Err != nil {
		return r.Err
	}
	for _, one := range r.Batch {
		if err := firstError(one); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkRequestRecords measures the commit of an intent and its outcome in states with different numbers of records.
func BenchmarkRequestRecords(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			a := newFilledState(0)
			a.fill(size, func(n int) *pb.DomainCommand { return intent(1<<30+n, "vm1", "a") })
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				index := a.apply(intent(n, "vm1", "a")).Record.GetIntentIndex()
				a.apply(outcome(n, "vm1", "a", pb.CommitOutcome_RESULT_EXECUTED, index))
			}
		})
	}
}

// BenchmarkMemory reports the heap and snapshot bytes per object, and the time that a snapshot and its restore take.
func BenchmarkMemory(b *testing.B) {
	answer := func(n int) *pb.DomainCommand {
		c := outcome(n, "vm1", "a", pb.CommitOutcome_RESULT_EXECUTED, 0)
		c.GetCommitOutcome().Answer.Body = make([]byte, 1024)
		return c
	}
	for _, kind := range []struct {
		name  string
		sizes []int
		fill  func(a *applier, size int)
	}{
		{"task", []int{10_000, 30_000, 100_000}, func(a *applier, size int) {
			a.fill(size, func(n int) *pb.DomainCommand { return submit(n, 1000, "") })
		}},
		{"worker", []int{1_200, 6_000, 24_000}, func(a *applier, size int) {
			a.fill(size, func(n int) *pb.DomainCommand { return register(fmt.Sprint("w", n), "a", 0) })
		}},
		{"intent", []int{10_000, 100_000, 1_000_000}, func(a *applier, size int) {
			a.fill(size, func(n int) *pb.DomainCommand { return intent(n, "vm1", "a") })
		}},
		{"answer1KiB", []int{10_000, 30_000, 100_000}, func(a *applier, size int) {
			a.fill(size, func(n int) *pb.DomainCommand { return intent(n, "vm1", "a") })
			a.fill(size, answer)
		}},
	} {
		for _, size := range kind.sizes {
			b.Run(fmt.Sprintf("%s/n=%d", kind.name, size), func(b *testing.B) {
				for range b.N {
					measureMemory(b, size, kind.fill)
				}
			})
		}
	}
}

func measureMemory(b *testing.B, size int, fill func(a *applier, size int)) {
	a := &applier{state: New("d1", Limits{MaxTasks: 1 << 30, MaxRecordsPerMember: 1 << 30, MaxRecords: 1 << 30, MaxAnswerBytes: 1 << 40})}
	before := heap()
	fill(a, size)
	b.ReportMetric(float64(heap()-before)/float64(size), "heap-B/object")
	begin := time.Now()
	snapshot, err := a.state.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(begin).Microseconds())/1000, "snapshot-ms")
	b.ReportMetric(float64(len(snapshot))/float64(size), "snapshot-B/object")
	begin = time.Now()
	if err := New("d1", Limits{}).Restore(snapshot); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(begin).Microseconds())/1000, "restore-ms")
	runtime.KeepAlive(a)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkView measures lookups of a task and of a request record in a large state.
func BenchmarkView(b *testing.B) {
	a := newFilledState(100_000)
	a.fill(100_000, func(n int) *pb.DomainCommand { return intent(n, "vm1", "a") })
	id := TaskID("d1", testKey(777))
	b.Run("task", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			a.state.View().Task(id)
		}
	})
	b.Run("record", func(b *testing.B) {
		b.ReportAllocs()
		key := testKey(777)
		for range b.N {
			a.state.View().Record("hanbit", key)
		}
	})
}
