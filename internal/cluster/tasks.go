package cluster

import (
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	found "github.com/lentilyard/lentilyard/internal/contract"
	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/gateway"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// domainOfTask returns the home failure domain in a task id "domain/key".
func domainOfTask(id string) string {
	failureDomain, _, _ := strings.Cut(id, "/")
	return failureDomain
}

// SubmitTask submits a task to its home domain: the failure domain that the task
// names or, if it names none, the one that owns its idempotency key.
func (c *Cluster) SubmitTask(ctx context.Context, spec *pb.TaskSpec) (*pb.Task, error) {
	spec.IdempotencyKey = idempotency.Canonical(spec.IdempotencyKey)
	view := c.contracts.View()
	if err := checkTaskContract(view, spec); err != nil {
		return nil, err
	}
	home := spec.FailureDomain
	if home == "" {
		home = gateway.OwnerDomain(c.domainNames(), spec.Member, spec.IdempotencyKey)
	}
	if err := c.checkDomain(home); err != nil {
		return nil, err
	}
	task := new(pb.Task)
	request := &pb.SubmitRequest{FailureDomain: home, Spec: spec, MinNote: view.LastNote()}
	return task, c.callLeader(ctx, DomainGroup(home), methodSubmit, request, task, callRepeatable)
}

// checkTaskContract returns an error if the contract of a task does not exist,
// belongs to another member or does not allow the class of the task.
func checkTaskContract(view *found.View, spec *pb.TaskSpec) error {
	contract := view.Contract(spec.Contract)
	if contract == nil || contract.Written.Member != spec.Member {
		return errs.ErrForbidden.With("member %q has no contract %q", spec.Member, spec.Contract)
	}
	if spec.Class == pb.TaskClass_TASK_CLASS_URGENT && !contract.Written.GetTerms().GetUrgent() {
		return errs.ErrForbidden.With("contract %q does not allow urgent tasks", spec.Contract)
	}
	return nil
}

// checkDomain returns errs.ErrNotFound if the settings do not list the failure domain.
func (c *Cluster) checkDomain(name string) error {
	for _, known := range c.domainNames() {
		if known == name {
			return nil
		}
	}
	return errs.ErrNotFound.With("failure domain %q is not in the settings", name)
}

// Task returns a task in the state that the leader of its home domain has applied.
func (c *Cluster) Task(ctx context.Context, id string) (*pb.Task, error) {
	return c.taskCall(ctx, methodTask, id, "", callReadOnly)
}

// CancelTask cancels a task in its home domain.
func (c *Cluster) CancelTask(ctx context.Context, id, reason string) (*pb.Task, error) {
	return c.taskCall(ctx, methodCancel, id, reason, callRepeatable)
}

// EvictTask ends the current attempt of a task. The call is not repeated after an
// unknown outcome, since a second eviction could end the next attempt.
func (c *Cluster) EvictTask(ctx context.Context, id, reason string) (*pb.Task, error) {
	return c.taskCall(ctx, methodEvict, id, reason, callOnlyOnce)
}

// taskCall calls a method for one task on the leader of its home domain.
func (c *Cluster) taskCall(ctx context.Context, method, id, reason string, kind callKind) (*pb.Task, error) {
	home := domainOfTask(id)
	if err := c.checkDomain(home); err != nil {
		return nil, err
	}
	task := new(pb.Task)
	return task, c.callLeader(ctx, DomainGroup(home), method, &pb.TaskRequest{Id: id, Reason: reason}, task, kind)
}

// Tasks lists the tasks of all failure domains that can be reached, and the names
// of the others.
func (c *Cluster) Tasks(ctx context.Context, query *pb.TaskQuery) (*pb.TaskList, error) {
	list := new(pb.TaskList)
	answers := callAll(c.pool, c.domainNames(), func(name string) (*pb.TaskList, error) {
		ofDomain := proto.Clone(query).(*pb.TaskQuery)
		ofDomain.FailureDomain = name
		answer := new(pb.TaskList)
		return answer, c.callLeader(ctx, DomainGroup(name), methodTasks, ofDomain, answer, callReadOnly)
	})
	for _, result := range answers {
		if result.err != nil {
			list.UnreachableDomains = append(list.UnreachableDomains, result.name)
			continue
		}
		list.Tasks = append(list.Tasks, result.answer.Tasks...)
	}
	return list, nil
}

func (c *Cluster) handleTasks(_ context.Context, query *pb.TaskQuery) (proto.Message, error) {
	hosted, err := c.ledDomain(query.FailureDomain)
	if err != nil {
		return nil, err
	}
	filter := domain.Filter{Member: query.Member}
	if query.State != pb.TaskState_TASK_STATE_UNSPECIFIED {
		filter.States = []pb.TaskState{query.State}
	}
	return &pb.TaskList{Tasks: hosted.State.View().Tasks(filter)}, nil
}

// RegisterWorker registers a worker with the leader of its failure domain.
func (c *Cluster) RegisterWorker(ctx context.Context, request *pb.RegisterWorkerRequest) (*pb.RegisterWorkerAnswer, error) {
	failureDomain := request.GetWorker().GetFailureDomain()
	if err := c.checkDomain(failureDomain); err != nil {
		return nil, err
	}
	answer := new(pb.RegisterWorkerAnswer)
	registration := &pb.WorkerRegistration{FailureDomain: failureDomain, Request: request}
	return answer, c.callLeader(ctx, DomainGroup(failureDomain), methodRegister, registration, answer, callRepeatable)
}

// Heartbeat forwards the heartbeat of a worker to the leader of the failure domain of this entry VM.
func (c *Cluster) Heartbeat(ctx context.Context, heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	answer := new(pb.WorkerHeartbeatAnswer)
	report := &pb.WorkerReport{FailureDomain: c.domain, Heartbeat: heartbeat}
	return answer, c.callLeader(ctx, DomainGroup(c.domain), methodHeartbeat, report, answer, callRepeatable)
}

// Announce passes the announcement of an executor to the routing table. An
// executor of another failure domain, which a load balancer may send here, gets
// the addresses of the entry VMs of its domain and no lease.
func (c *Cluster) Announce(announcement *pb.Announcement) (*pb.AnnouncementAnswer, error) {
	if announcement.FailureDomain == c.domain {
		return c.table.Announce(announcement)
	}
	if err := c.checkDomain(announcement.FailureDomain); err != nil {
		return nil, err
	}
	var addresses []string
	for _, vm := range c.settings.EntryVms {
		if vm.FailureDomain == announcement.FailureDomain {
			addresses = append(addresses, vm.HttpAddress)
		}
	}
	if len(addresses) == 0 {
		return nil, errs.ErrNotFound.With("failure domain %q has no entry VM", announcement.FailureDomain)
	}
	// The hash spreads the executors of a domain over its entry VMs.
	chosen := addresses[xxhash.Sum64String(announcement.Id)%uint64(len(addresses))]
	return &pb.AnnouncementAnswer{EntryVms: addresses, MoveTo: chosen}, nil
}
