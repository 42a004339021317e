// Package client is a client of the HTTP API of an entry VM.
package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

const defaultTimeout = 30 * time.Second

// ErrUnreachable means that no connection to the entry VM could be opened, so nothing was sent.
var ErrUnreachable = &errs.Error{Code: "unreachable", Outcome: errs.OutcomeNotRun,
	Message: "the entry VM cannot be reached", Remedy: "check --address, or use the address of another entry VM"}

// Client calls the API of one entry VM. It does not retry. It is safe for concurrent use.
type Client struct {
	http *resty.Client
}

// New returns a client for an address such as "127.0.0.1:7080" or "https://127.0.0.1:7080". Without a scheme it uses
// HTTP. token may be empty.
func New(address, token string) (*Client, error) {
	if address == "" {
		return nil, errors.New("the address of the entry VM is empty")
	}
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" {
		parsed = &url.URL{Scheme: "http", Host: address}
	}
	httpClient := resty.New().
		SetBaseURL(parsed.String()).
		SetTimeout(defaultTimeout).
		SetRetryCount(0)
	if token != "" {
		httpClient.SetAuthToken(token)
	}
	return &Client{http: httpClient}, nil
}

// call sends a request with req as its JSON body and decodes the answer into resp. Without req it sends no body; without
// resp it ignores the answer. Errors of the API are returned as *errs.Error.
func (c *Client) call(ctx context.Context, method, path string, req, resp proto.Message) error {
	request := c.http.R().SetContext(ctx)
	if req != nil {
		body, err := protojson.Marshal(req)
		if err != nil {
			return fmt.Errorf("encode the request: %w", err)
		}
		request.SetHeader("Content-Type", "application/json").SetBody(body)
	}
	answer, err := request.Execute(method, path)
	if err != nil {
		return transportError(err)
	}
	if answer.IsError() {
		return decodeError(answer)
	}
	if resp == nil {
		return nil
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(answer.Body(), resp); err != nil {
		return errs.ErrOutcomeUnknown.With("decode answer of %s: %w", path, err)
	}
	return nil
}

// transportError converts an error of the HTTP client to ErrUnreachable or, if the request may have been sent, to
// errs.ErrOutcomeUnknown.
func transportError(err error) error {
	if isDialError(err) {
		return ErrUnreachable.With("%w", err)
	}
	return errs.ErrOutcomeUnknown.With("no answer: %w", err)
}

// decodeError returns the error in the body of an answer, or errs.ErrOutcomeUnknown if the body holds none, for example
// because a proxy answered.
func decodeError(answer *resty.Response) error {
	var apiError pb.Error
	if err := protojson.Unmarshal(answer.Body(), &apiError); err != nil || apiError.Code == "" {
		return errs.ErrOutcomeUnknown.With("answer with status %d is not from lentilyard", answer.StatusCode())
	}
	return errs.FromProto(answer.StatusCode(), &apiError)
}

// SubmitTask submits a task. If a task with the same idempotency key exists, it returns that one.
func (c *Client) SubmitTask(ctx context.Context, spec *pb.TaskSpec) (*pb.Task, error) {
	task := new(pb.Task)
	return task, c.call(ctx, http.MethodPost, "/v1/tasks", spec, task)
}

// Task returns the task with the given id.
func (c *Client) Task(ctx context.Context, id string) (*pb.Task, error) {
	task := new(pb.Task)
	return task, c.call(ctx, http.MethodGet, "/v1/tasks/"+id, nil, task)
}

// Tasks lists the tasks of a member in a state. An empty member or state selects all.
func (c *Client) Tasks(ctx context.Context, member, state string) (*pb.TaskList, error) {
	list := new(pb.TaskList)
	query := url.Values{"member": {member}, "state": {state}}
	return list, c.call(ctx, http.MethodGet, "/v1/tasks?"+query.Encode(), nil, list)
}

// CancelTask cancels a task.
func (c *Client) CancelTask(ctx context.Context, id, reason string) (*pb.Task, error) {
	task := new(pb.Task)
	return task, c.call(ctx, http.MethodPost, "/v1/tasks/"+id+"/cancel", &pb.TaskRequest{Reason: reason}, task)
}

// EvictTask checkpoints a task and ends its current attempt. The task is then queued again.
func (c *Client) EvictTask(ctx context.Context, id, reason string) (*pb.Task, error) {
	task := new(pb.Task)
	return task, c.call(ctx, http.MethodPost, "/v1/tasks/"+id+"/evict", &pb.TaskRequest{Reason: reason}, task)
}

// CheckNote returns the effects that a release note would have, without applying it.
func (c *Client) CheckNote(ctx context.Context, note *pb.ReleaseNote) (*pb.NoteCheck, error) {
	check := new(pb.NoteCheck)
	return check, c.call(ctx, http.MethodPost, "/v1/notes/check", note, check)
}

// ApplyNote applies a release note completely or not at all.
func (c *Client) ApplyNote(ctx context.Context, note *pb.ReleaseNote) (*pb.AcceptedNote, error) {
	accepted := new(pb.AcceptedNote)
	return accepted, c.call(ctx, http.MethodPost, "/v1/notes", note, accepted)
}

// NoteStatus reports where a release note is in force.
func (c *Client) NoteStatus(ctx context.Context, number uint64) (*pb.NoteStatus, error) {
	status := new(pb.NoteStatus)
	return status, c.call(ctx, http.MethodGet, "/v1/notes/"+strconv.FormatUint(number, 10), nil, status)
}

// Notes lists the accepted release notes.
func (c *Client) Notes(ctx context.Context) (*pb.NoteList, error) {
	list := new(pb.NoteList)
	return list, c.call(ctx, http.MethodGet, "/v1/notes", nil, list)
}

// Contracts lists the contracts in force.
func (c *Client) Contracts(ctx context.Context) (*pb.ContractList, error) {
	list := new(pb.ContractList)
	return list, c.call(ctx, http.MethodGet, "/v1/contracts", nil, list)
}

// Targets lists executors and workers.
func (c *Client) Targets(ctx context.Context) (*pb.TargetList, error) {
	list := new(pb.TargetList)
	return list, c.call(ctx, http.MethodGet, "/v1/targets", nil, list)
}

// Drain starts draining a target of a failure domain, or ends it if draining is false.
func (c *Client) Drain(ctx context.Context, failureDomain, target string, draining bool) error {
	request := &pb.DrainRequest{FailureDomain: failureDomain, Target: target, Draining: draining}
	return c.call(ctx, http.MethodPost, "/v1/targets/drain", request, nil)
}

// Status returns the status of all entry VMs.
func (c *Client) Status(ctx context.Context) (*pb.StatusList, error) {
	list := new(pb.StatusList)
	return list, c.call(ctx, http.MethodGet, "/v1/status", nil, list)
}
