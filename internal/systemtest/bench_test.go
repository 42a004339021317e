package systemtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// cpuTime returns the processor time that a process has used. A clock tick of /proc is 10 ms on Linux.
func cpuTime(b *testing.B, p *process) time.Duration {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, p *process) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(content))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// BenchmarkIdleEntryVM measures the processor time and memory of idle entry VMs in deployments of different sizes.
func BenchmarkIdleEntryVM(b *testing.B) {
	const measured = 10 * time.Second
	for _, perDomain := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("vms=%d", 3*perDomain), func(b *testing.B) {
			d := newDeployment(b)
			for _, name := range []string{"a", "b", "c"} {
				for i := range perDomain {
					d.addVM(fmt.Sprintf("vm-%s%d", name, i), name, i == 0)
				}
				d.voters[name] = []string{"vm-" + name + "0"}
			}
			d.configVoters = []string{"vm-a0", "vm-b0", "vm-c0"}
			d.start()
			time.Sleep(3 * time.Second)
			b.ResetTimer()
			var before, after time.Duration
			var memory int64
			for _, v := range d.vms {
				before += cpuTime(b, v.process)
			}
			time.Sleep(measured)
			for _, v := range d.vms {
				after += cpuTime(b, v.process)
				memory += residentBytes(b, v.process)
			}
			vms := float64(len(d.vms))
			b.ReportMetric(100*float64(after-before)/float64(measured)/vms, "core%/vm")
			b.ReportMetric(float64(memory)/vms/1e6, "MB/vm")
		})
	}
}

// BenchmarkWorkerSide measures the cost of the protocol on the VM of a worker, by the number of running tasks.
func BenchmarkWorkerSide(b *testing.B) {
	const measured = 10 * time.Second
	for _, tasks := range []int{0, 13, 52} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			d := newThreeVMDeployment(b)
			d.start()
			d.applyNote(d.vms[0], releaseNote(1, batchContract()))
			d.waitNoteEverywhere(1, time.Second)
			worker := d.startWorker("w", "a", "--cores", "64 core")
			var last string
			for range tasks {
				spec := batchTask("t", `{"run_ms": 600000}`, "a")
				spec.Resources = &pb.Resources{Millicores: 500, MemoryBytes: 1 << 20}
				last = d.submit(d.vms[0], spec).Id
			}
			if last != "" {
				d.waitTask(d.vms[0], last, pb.TaskState_TASK_STATE_RUNNING, 20*time.Second)
			}
			time.Sleep(2 * time.Second)
			b.ResetTimer()
			before, beforeVM := cpuTime(b, worker), cpuTime(b, d.vms[0].process)
			time.Sleep(measured)
			b.ReportMetric(100*float64(cpuTime(b, worker)-before)/float64(measured), "core%/worker")
			b.ReportMetric(100*float64(cpuTime(b, d.vms[0].process)-beforeVM)/float64(measured), "core%/leader")
			b.ReportMetric(float64(residentBytes(b, worker))/1e6, "MB/worker")
			b.ReportMetric(float64(heartbeatBytes(b, tasks)), "B/heartbeat")
		})
	}
}

// heartbeatBytes returns the size of the body of a heartbeat with one usage sample for each running task.
func heartbeatBytes(b *testing.B, tasks int) int {
	heartbeat := &pb.WorkerHeartbeat{Worker: "worker-0001", Epoch: 12345, WaitMs: 1000}
	for range tasks {
		id := "wonju/" + idempotency.NewKey(time.Now())
		heartbeat.Running = append(heartbeat.Running, &pb.AttemptRef{Task: id, Attempt: 1})
		heartbeat.Usage = append(heartbeat.Usage, &pb.UsageSample{Task: id, Attempt: 1, TakenUnixMs: time.Now().UnixMilli(),
			Millicores: 980, MemoryBytes: 1 << 28, Speed: 0.93})
	}
	encoded, err := protojson.Marshal(heartbeat)
	if err != nil {
		b.Fatal(err)
	}
	return len(encoded)
}

// BenchmarkNoteInForce measures the time from the acknowledgement of a note until it is in force on every entry VM.
func BenchmarkNoteInForce(b *testing.B) {
	d := newSixVMDeployment(b)
	d.start()
	var times []time.Duration
	for number := uint64(1); number <= uint64(b.N); number++ {
		d.applyNote(d.vms[0], releaseNote(number, &pb.Contract{Name: fmt.Sprint("c", number), Member: "hanbit",
			Limits: &pb.ContractLimits{Cores: "1 core"}}))
		times = append(times, d.waitNoteEverywhere(number, 7*time.Second))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
}

// BenchmarkRequestThroughProcesses compares the latency of a request through an entry VM with that of a direct request to
// the same executor.
func BenchmarkRequestThroughProcesses(b *testing.B) {
	for _, work := range []string{"0s", "5ms"} {
		d := newThreeVMDeployment(b)
		d.start()
		d.applyNote(d.vms[0], releaseNote(1, serviceContract()))
		d.waitNoteEverywhere(1, time.Second)
		address := freeTCP(b)
		d.startExecutor("executor-a", "a", "--work", work, "--listen", address)
		eventually(b, 5*time.Second, "a request", func() bool {
			return request(d.vms[0], http.MethodGet, "/", "", nil).status == http.StatusOK
		})
		direct := &vm{httpAddress: address}
		b.Run("work="+work, func(b *testing.B) {
			var through, alone []time.Duration
			for range b.N {
				through = append(through, timeRequest(b, d.vms[0]))
				alone = append(alone, timeRequest(b, direct))
			}
			slices.Sort(through)
			slices.Sort(alone)
			report := func(name string, quantile float64) {
				i := int(quantile * float64(len(through)-1))
				b.ReportMetric(float64(through[i])/float64(alone[i]), name+"-ratio")
				b.ReportMetric(float64(through[i].Microseconds()), name+"-us")
			}
			report("p50", 0.5)
			report("p99", 0.99)
		})
		d.stop()
	}
}

// timeRequest sends a request and returns how long it took.
func timeRequest(b *testing.B, v *vm) time.Duration {
	begin := time.Now()
	if got := request(v, http.MethodGet, "/", "", nil); got.status != http.StatusOK {
		b.Fatalf("request: status %d, %v", got.status, got.err)
	}
	return time.Since(begin)
}

// BenchmarkHeartbeats measures the cost of the heartbeats of many workers on the entry VM that leads their domain, including
// HTTP and JSON. Each simulated worker sends one heartbeat per second with usage samples of 13 tasks.
func BenchmarkHeartbeats(b *testing.B) {
	const measured = 10 * time.Second
	for _, workers := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newThreeVMDeployment(b)
			d.start()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: 5 * time.Second}
			var sent, failed atomic.Int64
			for i := range workers {
				go sendHeartbeats(ctx, caller, d.vms[0], fmt.Sprintf("w%04d", i), &sent, &failed)
			}
			time.Sleep(5 * time.Second)
			b.ResetTimer()
			before, count := cpuTime(b, d.vms[0].process), sent.Load()
			time.Sleep(measured)
			used, answered := cpuTime(b, d.vms[0].process)-before, sent.Load()-count
			b.ReportMetric(100*float64(used)/float64(measured), "core%/leader")
			b.ReportMetric(float64(answered)/measured.Seconds(), "heartbeats/s")
			b.ReportMetric(float64(failed.Load()), "failed")
			b.ReportMetric(float64(residentBytes(b, d.vms[0].process))/1e6, "MB/leader")
		})
	}
}

// sendHeartbeats registers a worker and sends its heartbeats until ctx ends. It counts successful and failed calls.
func sendHeartbeats(ctx context.Context, caller *http.Client, v *vm, id string, sent, failed *atomic.Int64) {
	registration := &pb.RegisterWorkerRequest{Worker: &pb.Worker{Id: id, FailureDomain: "a", Rack: "r", Instance: id,
		Capacity: &pb.Resources{Millicores: 32000, MemoryBytes: 125e9}}}
	registered := new(pb.RegisterWorkerAnswer)
	for registered.Epoch == 0 && ctx.Err() == nil {
		if err := postJSON(ctx, caller, v, "/v1/workers/register", registration, registered); err != nil {
			failed.Add(1)
			time.Sleep(100 * time.Millisecond)
		}
		registration.KnownEpoch = registered.KnownEpoch
	}
	heartbeat := &pb.WorkerHeartbeat{Worker: id, Epoch: registered.Epoch}
	for range 13 {
		heartbeat.Usage = append(heartbeat.Usage, &pb.UsageSample{Task: "a/" + idempotency.NewKey(time.Now()), Attempt: 1,
			TakenUnixMs: time.Now().UnixMilli(), Millicores: 980, MemoryBytes: 1 << 28, Speed: 0.93})
	}
	for ctx.Err() == nil {
		if err := postJSON(ctx, caller, v, "/v1/workers/heartbeat", heartbeat, new(pb.WorkerHeartbeatAnswer)); err != nil {
			failed.Add(1)
		} else {
			sent.Add(1)
		}
		time.Sleep(time.Second)
	}
}

func postJSON(ctx context.Context, caller *http.Client, v *vm, path string, req, resp proto.Message) error {
	encoded, err := protojson.Marshal(req)
	if err != nil {
		return err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.httpAddress+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	call.Header.Set("Authorization", "Bearer "+workerToken)
	answer, err := caller.Do(call)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}
	return protojson.Unmarshal(body, resp)
}
