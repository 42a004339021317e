// Package cluster forwards operations of the HTTP API to the entry VM that
// executes them: the leader of the config group or of a domain group.
package cluster

import (
	"context"
	"slices"
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/contract"
	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/leader"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/replica"
	"github.com/lentilyard/lentilyard/internal/routing"
)

// ConfigGroup is the name of the group that holds contracts and notes.
const ConfigGroup = "config"

// maxConcurrentCalls bounds the concurrent calls of callAll in one process.
const maxConcurrentCalls = 64

// DomainGroup returns the name of the replication group of a failure domain.
func DomainGroup(failureDomain string) string { return "domain." + failureDomain }

// Transport is the part of the peer transport that the cluster uses.
type Transport interface {
	Call(ctx context.Context, to, method string, req, resp proto.Message) error
	HandleCall(method string, f func(ctx context.Context, from string, req []byte) (proto.Message, error))
	Reachable(id string) bool
}

// Group is a replicated group hosted by this process.
type Group interface {
	Propose(ctx context.Context, entry []byte) (any, error)
	ReadBarrier(ctx context.Context) error
	Status() replica.Status
}

// Domain is a domain group hosted by this process.
type Domain struct {
	Group  Group
	State  *domain.State
	Leader *leader.Leader
}

// Config holds the dependencies of a Cluster.
type Config struct {
	// VM is the id of this entry VM, Domain the name of its failure domain.
	VM        string
	Domain    string
	Version   string
	Settings  *pb.Settings
	Transport Transport
	Table     *routing.Table
	// Config is the config group, Contracts its state.
	Config    Group
	Contracts *contract.State
	// Domains are the domain groups hosted here, by failure domain.
	Domains map[string]Domain
	// Ready reports whether this entry VM should receive traffic.
	Ready func() bool
	// AppliedNote returns the number of the last note that routing and placement of this process have applied.
	AppliedNote func() uint64
	Logger      zerolog.Logger
}

// Cluster implements api.Cluster. It forwards operations to the leaders of the
// groups and handles the forwarded operations of other entry VMs.
type Cluster struct {
	settings    *pb.Settings
	vm          string
	domain      string
	version     string
	transport   Transport
	table       *routing.Table
	config      Group
	contracts   *contract.State
	domains     map[string]Domain
	ready       func() bool
	appliedNote func() uint64
	log         zerolog.Logger

	pool  pond.Pool
	hosts map[string][]string // group name to the entry VMs that host it

	mu      sync.Mutex
	leaders map[string]string // last known leader by group; used for groups that are not hosted here
}

// New returns a cluster and registers the handlers of calls from other entry VMs.
func New(config Config) *Cluster {
	c := &Cluster{
		settings:    config.Settings,
		vm:          config.VM,
		domain:      config.Domain,
		version:     config.Version,
		transport:   config.Transport,
		table:       config.Table,
		config:      config.Config,
		contracts:   config.Contracts,
		domains:     config.Domains,
		ready:       config.Ready,
		appliedNote: config.AppliedNote,
		log:         config.Logger,
		pool:        pond.NewPool(maxConcurrentCalls),
		hosts:       make(map[string][]string),
		leaders:     make(map[string]string),
	}
	for _, vm := range config.Settings.EntryVms {
		c.hosts[ConfigGroup] = append(c.hosts[ConfigGroup], vm.Id)
	}
	for _, failureDomain := range config.Settings.FailureDomains {
		c.hosts[DomainGroup(failureDomain.Name)] = HostsOf(config.Settings, failureDomain)
	}
	c.registerHandlers()
	return c
}

// HostsOf returns the ids of the entry VMs that host the group of a failure domain: the entry VMs of the domain and
// the voters that the settings list for it.
func HostsOf(settings *pb.Settings, failureDomain *pb.FailureDomain) []string {
	var hosts []string
	for _, vm := range settings.EntryVms {
		if vm.FailureDomain == failureDomain.Name || slices.Contains(failureDomain.Voters, vm.Id) {
			hosts = append(hosts, vm.Id)
		}
	}
	return hosts
}

// Close waits for the calls to other entry VMs that callAll started, and prevents new ones.
func (c *Cluster) Close() { c.pool.StopAndWait() }

func (c *Cluster) domainNames() []string {
	var names []string
	for _, failureDomain := range c.settings.FailureDomains {
		names = append(names, failureDomain.Name)
	}
	return names
}

func (c *Cluster) vmIDs() []string {
	var ids []string
	for _, vm := range c.settings.EntryVms {
		ids = append(ids, vm.Id)
	}
	return ids
}

// callResult is the result of the call to one entry VM or one group.
type callResult[T proto.Message] struct {
	name   string
	answer T
	err    error
}

// callAll runs call for all names concurrently and returns the results in the order of names.
func callAll[T proto.Message](pool pond.Pool, names []string, call func(name string) (T, error)) []callResult[T] {
	results := make([]callResult[T], len(names))
	group := pool.NewGroup()
	for i, name := range names {
		group.Submit(func() {
			answer, err := call(name)
			results[i] = callResult[T]{name: name, answer: answer, err: err}
		})
	}
	// The submitted functions return no errors; each result carries its own.
	_ = group.Wait()
	return results
}
