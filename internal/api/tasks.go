package api

import (
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

func (a *API) addTaskRoutes() {
	a.handle("POST /v1/tasks", a.submitTask, RoleCaller, RoleOperator)
	a.handle("GET /v1/tasks", a.listTasks, RoleCaller, RoleOperator)
	a.handle("GET /v1/tasks/{domain}/{key}", a.showTask, RoleCaller, RoleOperator)
	a.handle("POST /v1/tasks/{domain}/{key}/cancel", a.cancelTask, RoleCaller, RoleOperator)
	a.handle("POST /v1/tasks/{domain}/{key}/evict", a.evictTask, RoleOperator)
}

func (a *API) submitTask(r *http.Request, identity Identity) (proto.Message, error) {
	spec := new(pb.TaskSpec)
	if err := readMessage(r, spec); err != nil {
		return nil, err
	}
	if spec.Member == "" {
		spec.Member = identity.Member
	}
	if err := checkMember(identity, spec.Member); err != nil {
		return nil, err
	}
	return a.cluster.SubmitTask(r.Context(), spec)
}

func (a *API) listTasks(r *http.Request, identity Identity) (proto.Message, error) {
	query := &pb.TaskQuery{Member: r.URL.Query().Get("member")}
	if identity.Role != RoleOperator {
		query.Member = identity.Member
	}
	if state := r.URL.Query().Get("state"); state != "" {
		value, known := pb.TaskState_value["TASK_STATE_"+strings.ToUpper(state)]
		if !known {
			return nil, errs.ErrInvalid.With("task state %q does not exist", state)
		}
		query.State = pb.TaskState(value)
	}
	return a.cluster.Tasks(r.Context(), query)
}

func (a *API) showTask(r *http.Request, identity Identity) (proto.Message, error) {
	return a.visibleTask(r, identity)
}

func (a *API) cancelTask(r *http.Request, identity Identity) (proto.Message, error) {
	task, reason, err := a.taskAndReason(r, identity)
	if err != nil {
		return nil, err
	}
	return a.cluster.CancelTask(r.Context(), task.Id, reason)
}

func (a *API) evictTask(r *http.Request, identity Identity) (proto.Message, error) {
	task, reason, err := a.taskAndReason(r, identity)
	if err != nil {
		return nil, err
	}
	return a.cluster.EvictTask(r.Context(), task.Id, reason)
}

// taskAndReason returns the task named by the path and the reason in the optional body.
func (a *API) taskAndReason(r *http.Request, identity Identity) (*pb.Task, string, error) {
	request := new(pb.TaskRequest)
	if r.ContentLength != 0 {
		if err := readMessage(r, request); err != nil {
			return nil, "", err
		}
	}
	task, err := a.visibleTask(r, identity)
	return task, request.Reason, err
}

// visibleTask returns the task named by the path. A task of another member is reported as not found, so that callers do
// not learn that it exists.
func (a *API) visibleTask(r *http.Request, identity Identity) (*pb.Task, error) {
	id := r.PathValue("domain") + "/" + r.PathValue("key")
	task, err := a.cluster.Task(r.Context(), id)
	if err != nil {
		return nil, err
	}
	if checkMember(identity, task.GetSpec().GetMember()) != nil {
		return nil, errs.ErrNotFound.With("task %q does not exist", id)
	}
	return task, nil
}

// checkMember returns an error unless the identity may act for the member. An operator may act for any named member.
func checkMember(identity Identity, member string) error {
	if identity.Role == RoleOperator {
		if member == "" {
			return errs.ErrInvalid.With("member is missing")
		}
		return nil
	}
	if identity.Member == "" || identity.Member != member {
		return errs.ErrForbidden.With("token %q acts for member %q, not %q", identity.Name, identity.Member, member)
	}
	return nil
}

func (a *API) addTargetRoutes() {
	a.handle("POST /v1/targets/announce", a.announce, RoleTarget)
	a.handle("POST /v1/targets/drain", a.drain, RoleOperator)
	a.handle("GET /v1/targets", func(r *http.Request, _ Identity) (proto.Message, error) {
		return a.cluster.Targets(r.Context())
	}, RoleOperator)
	a.handle("POST /v1/workers/register", a.registerWorker, RoleWorker)
	a.handle("POST /v1/workers/heartbeat", a.heartbeat, RoleWorker)
	a.handle("GET /v1/status", func(r *http.Request, _ Identity) (proto.Message, error) {
		return a.cluster.Status(r.Context())
	}, RoleOperator)
}

func (a *API) announce(r *http.Request, _ Identity) (proto.Message, error) {
	announcement := new(pb.Announcement)
	if err := readMessage(r, announcement); err != nil {
		return nil, err
	}
	return a.cluster.Announce(announcement)
}

func (a *API) registerWorker(r *http.Request, _ Identity) (proto.Message, error) {
	request := new(pb.RegisterWorkerRequest)
	if err := readMessage(r, request); err != nil {
		return nil, err
	}
	return a.cluster.RegisterWorker(r.Context(), request)
}

func (a *API) heartbeat(r *http.Request, _ Identity) (proto.Message, error) {
	heartbeat := new(pb.WorkerHeartbeat)
	if err := readMessage(r, heartbeat); err != nil {
		return nil, err
	}
	return a.cluster.Heartbeat(r.Context(), heartbeat)
}

func (a *API) drain(r *http.Request, _ Identity) (proto.Message, error) {
	request := new(pb.DrainRequest)
	if err := readMessage(r, request); err != nil {
		return nil, err
	}
	if request.Target == "" || request.FailureDomain == "" {
		return nil, errs.ErrInvalid.With("target and failureDomain are required")
	}
	return &pb.Empty{}, a.cluster.Drain(r.Context(), request)
}

func (a *API) addNoteRoutes() {
	a.handle("POST /v1/notes/check", a.checkNote, RoleOperator)
	a.handle("POST /v1/notes", a.applyNote, RoleOperator)
	a.handle("GET /v1/notes/{number}", a.noteStatus, RoleOperator)
	a.handle("GET /v1/notes", func(*http.Request, Identity) (proto.Message, error) {
		return a.cluster.Notes(), nil
	}, RoleOperator)
	a.handle("GET /v1/contracts", a.listContracts, RoleOperator, RoleCaller)
}

// listContracts returns all contracts to an operator and those of its own member to a caller.
func (a *API) listContracts(_ *http.Request, identity Identity) (proto.Message, error) {
	all := a.cluster.Contracts()
	if identity.Role == RoleOperator {
		return all, nil
	}
	own := new(pb.ContractList)
	for _, contract := range all.Contracts {
		if contract.GetWritten().GetMember() == identity.Member {
			own.Contracts = append(own.Contracts, contract)
		}
	}
	return own, nil
}

var _ http.Handler = (*API)(nil)
