package standin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// fakeEntryVM implements the HTTP API of an entry VM. It sends a worker one command at a time.
type fakeEntryVM struct {
	mu       sync.Mutex
	token    string
	commands []*pb.WorkerCommand
	epoch    uint64
	address  string
	reports  []*pb.AttemptReport
	usage    []*pb.UsageSample
}

func (e *fakeEntryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer "+e.token {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	var answer proto.Message
	if r.URL.Path == "/v1/workers/register" {
		answer = e.register(body)
	} else {
		answer = e.heartbeat(body)
	}
	encoded, _ := protojson.Marshal(answer)
	_, _ = w.Write(encoded)
}

// register requires the epoch of the former session, as for a worker that was registered before.
func (e *fakeEntryVM) register(body []byte) *pb.RegisterWorkerAnswer {
	request := &pb.RegisterWorkerRequest{}
	_ = protojson.Unmarshal(body, request)
	if request.GetKnownEpoch() != e.epoch {
		return &pb.RegisterWorkerAnswer{KnownEpoch: e.epoch}
	}
	e.epoch++
	return &pb.RegisterWorkerAnswer{Epoch: e.epoch, LeaseMs: 10000, EntryVms: []string{e.address}}
}

func (e *fakeEntryVM) heartbeat(body []byte) *pb.WorkerHeartbeatAnswer {
	heartbeat := &pb.WorkerHeartbeat{}
	_ = protojson.Unmarshal(body, heartbeat)
	e.reports = append(e.reports, heartbeat.GetReports()...)
	e.usage = append(e.usage, heartbeat.GetUsage()...)
	answer := &pb.WorkerHeartbeatAnswer{LeaseMs: 10000, ReportsCommitted: true, RegisterAgain: heartbeat.GetEpoch() != e.epoch}
	if len(e.commands) > 0 && !answer.RegisterAgain {
		answer.Commands, e.commands = e.commands[:1], e.commands[1:]
	}
	return answer
}

func (e *fakeEntryVM) hasReport(event pb.AttemptEvent, task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reports {
		if r.GetEvent() == event && r.GetTask() == task {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func startCommand(task string, index uint64, work Work, resume *pb.Checkpoint) *pb.WorkerCommand {
	return &pb.WorkerCommand{Op: pb.WorkerOp_WORKER_OP_START, Task: task, Attempt: 1, Term: 1, Index: index, Resume: resume,
		Spec: &pb.TaskSpec{Kind: "k", Resources: &pb.Resources{Millicores: 500}, Payload: work.Payload()}}
}

// Guards against a worker that deviates from the HTTP protocol: registration in two steps, bearer token, JSON bodies, each
// kind of command, delayed usage samples, and the switch to another entry VM when one does not answer.
func TestWorkerHTTPProtocol(t *testing.T) {
	is := is.New(t)
	entry := &fakeEntryVM{token: "secret", epoch: 7}
	entry.commands = []*pb.WorkerCommand{
		startCommand("ends", 1, Work{RunMs: 100}, nil),
		startCommand("fails", 2, Work{RunMs: 100, FailAtPercent: 50}, nil),
		startCommand("refuses to start", 3, Work{FailStart: true}, nil),
		startCommand("resumes", 4, Work{RunMs: 600000}, &pb.Checkpoint{Progress: 0.9999}),
		startCommand("stops", 5, Work{RunMs: 600000, CheckpointEveryMs: 100}, nil),
		{Op: pb.WorkerOp_WORKER_OP_THROTTLE, Task: "stops", Attempt: 1, Term: 1, Index: 5, Share: 0.5},
	}
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // the server detects a closed connection only after the body is read
		<-r.Context().Done()
	}))
	defer silent.Close()
	server := httptest.NewServer(entry)
	defer server.Close()
	entry.address = server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	worker := NewWorker(WorkerOptions{ID: "w1", FailureDomain: "d1", Capacity: &pb.Resources{Millicores: 4000}, Guards: true, Token: "secret",
		EntryVMs: []string{silent.URL, server.URL}, RequestTimeout: 200 * time.Millisecond, Poll: 50 * time.Millisecond,
		CheckpointTime: 10 * time.Millisecond, UsageInterval: 50 * time.Millisecond, UsageLag: 100 * time.Millisecond,
		Speed: func(string, []string) float64 { return 0.5 }})
	go func() { done <- worker.Run(ctx) }()

	eventually(t, "finish", func() bool { return entry.hasReport(pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, "ends") })
	eventually(t, "failure", func() bool { return entry.hasReport(pb.AttemptEvent_ATTEMPT_EVENT_FAILED, "fails") })
	eventually(t, "failed start", func() bool { return entry.hasReport(pb.AttemptEvent_ATTEMPT_EVENT_FAILED, "refuses to start") })
	eventually(t, "resume", func() bool { return entry.hasReport(pb.AttemptEvent_ATTEMPT_EVENT_FINISHED, "resumes") })
	eventually(t, "checkpoint", func() bool { return entry.hasReport(pb.AttemptEvent_ATTEMPT_EVENT_CHECKPOINTED, "stops") })
	entry.mu.Lock()
	entry.commands = []*pb.WorkerCommand{{Op: pb.WorkerOp_WORKER_OP_CHECKPOINT_AND_STOP, Task: "stops", Attempt: 1, Term: 1, Index: 6}}
	entry.mu.Unlock()
	eventually(t, "stop", func() bool { return entry.hasReport(pb.AttemptEvent_ATTEMPT_EVENT_STOPPED, "stops") })
	entry.mu.Lock()
	is.Equal(entry.epoch, uint64(8))
	is.Equal(entry.usage[0].GetSpeed(), 0.5)
	is.True(time.Since(time.UnixMilli(entry.usage[0].GetTakenUnixMs())) >= 100*time.Millisecond)
	entry.epoch = 20 // the next heartbeat is told to register again
	entry.mu.Unlock()
	eventually(t, "second registration", func() bool {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		return entry.epoch == 21
	})
	cancel()
	is.Equal(<-done, context.Canceled)
}
