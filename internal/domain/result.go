package domain

import (
	"fmt"
	"net/http"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// Result is the result of one command. Its messages are immutable.
type Result struct {
	// Err says why the command changed nothing.
	Err    *errs.Error
	Task   *pb.Task
	Worker *pb.Worker
	Record *pb.RequestRecord
	// Created tells that the command created the task or record, rather than found it.
	Created bool
	// Batch holds one result for each command of a batch, or for each placement or eviction.
	Batch []Result
}

func (r Result) proto() *pb.DomainResult {
	p := &pb.DomainResult{Task: r.Task, Worker: r.Worker, Record: r.Record, Created: r.Created}
	if r.Err != nil {
		p.Error = r.Err.Proto()
		p.Status = uint32(r.Err.Status)
	}
	for _, b := range r.Batch {
		p.Batch = append(p.Batch, b.proto())
	}
	return p
}

func resultFromProto(p *pb.DomainResult) Result {
	r := Result{Task: p.GetTask(), Worker: p.GetWorker(), Record: p.GetRecord(), Created: p.GetCreated()}
	if p.GetError() != nil {
		r.Err = errs.FromProto(int(p.GetStatus()), p.GetError())
	}
	for _, b := range p.GetBatch() {
		r.Batch = append(r.Batch, resultFromProto(b))
	}
	return r
}

// Encode returns the wire form for a proposal that was forwarded over the network.
func (r Result) Encode() []byte {
	encoded, err := proto.Marshal(r.proto())
	if err != nil { // only a string that is not UTF-8 can cause this
		encoded, _ = proto.Marshal(Result{Err: errs.ErrInternal.With("result cannot be encoded: %w", err)}.proto())
	}
	return encoded
}

// DecodeResult reads the wire form made by Encode.
func DecodeResult(encoded []byte) (Result, error) {
	p := &pb.DomainResult{}
	if err := proto.Unmarshal(encoded, p); err != nil {
		return Result{}, fmt.Errorf("decode result of a domain command: %w", err)
	}
	return resultFromProto(p), nil
}

// Errors of domain commands.
var (
	ErrStaleEpoch = &errs.Error{Code: "stale-epoch", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the worker has registered again since", Remedy: "register the worker again"}
	ErrStaleTerm = &errs.Error{Code: "stale-term", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "another leader may have renewed the leases since", Remedy: "none; the present leader counts the leases"}
	ErrPlacement = &errs.Error{Code: "placement-refused", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the placement no longer fits the state", Remedy: "plan again"}
	ErrNotRunning = &errs.Error{Code: "not-running", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the attempt does not run", Remedy: "look at the state of the task"}
	ErrKeyReused = &errs.Error{Code: "key-reused", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "the idempotency key was used for something else", Remedy: "use a new key for a new request"}
	ErrTooManyRecords = &errs.Error{Code: "too-many-records", Status: http.StatusTooManyRequests, Outcome: errs.OutcomeNotRun,
		Message: "the limit of request records is reached", Remedy: "retry later with the same key; records are kept for 24 h"}
	ErrTooManyTasks = &errs.Error{Code: "too-many-tasks", Status: http.StatusTooManyRequests, Outcome: errs.OutcomeNotRun,
		Message: "the limit of tasks is reached", Remedy: "retry later with the same key, or cancel queued tasks"}
	ErrNotSender = &errs.Error{Code: "not-sender", Status: http.StatusConflict, Outcome: errs.OutcomeNotRun,
		Message: "only the sender of a request may commit its outcome", Remedy: "ask again with the same idempotency key"}
)
