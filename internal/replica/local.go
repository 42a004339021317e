package replica

import (
	"sync"
	"sync/atomic"
)

// LocalNetwork connects the hosts of one process. It delivers messages in order
// and synchronously, on the goroutine of the sender. It is meant for groups that
// run in a single process, and for tests and benchmarks of state machines.
type LocalNetwork struct {
	mu       sync.Mutex
	handlers map[string]map[string]func(string, []byte) // by VM and channel
	isolated map[string]bool
	traffic  map[string]*Traffic
}

// Traffic counts the messages that a VM sent and their bytes. Messages to or from
// isolated VMs and messages without a receiver do not count.
type Traffic struct {
	Messages, Bytes atomic.Int64
}

// NewLocalNetwork returns a network without VMs.
func NewLocalNetwork() *LocalNetwork {
	return &LocalNetwork{
		handlers: map[string]map[string]func(string, []byte){},
		isolated: map[string]bool{},
		traffic:  map[string]*Traffic{},
	}
}

// Endpoint returns a new Messenger for a VM. It replaces an earlier one of the
// same VM, whose handlers are removed.
func (n *LocalNetwork) Endpoint(vm string) Messenger {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[vm] = map[string]func(string, []byte){}
	if n.traffic[vm] == nil {
		n.traffic[vm] = &Traffic{}
	}
	return &localEndpoint{network: n, vm: vm, traffic: n.traffic[vm]}
}

// Isolate disconnects a VM from all others if isolated is true, and reconnects it
// otherwise.
func (n *LocalNetwork) Isolate(vm string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[vm] = isolated
}

// Isolated reports whether a VM is disconnected by Isolate.
func (n *LocalNetwork) Isolated(vm string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[vm]
}

// Sent returns the number of messages and bytes that a VM has sent so far.
func (n *LocalNetwork) Sent(vm string) (messages, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.traffic[vm]; t != nil {
		return t.Messages.Load(), t.Bytes.Load()
	}
	return 0, 0
}

// localEndpoint implements Messenger for one VM of a LocalNetwork.
type localEndpoint struct {
	network *LocalNetwork
	vm      string
	traffic *Traffic
}

// Handle implements Messenger.
func (e *localEndpoint) Handle(channel string, f func(string, []byte)) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	e.network.handlers[e.vm][channel] = f
}

// Send implements Messenger.
func (e *localEndpoint) Send(to, channel string, payload []byte) {
	f := e.network.receiver(e.vm, to, channel)
	if f == nil {
		return
	}
	e.traffic.Messages.Add(1)
	e.traffic.Bytes.Add(int64(len(payload)))
	f(e.vm, payload)
}

// receiver returns the handler for a message, or nil if it cannot be delivered.
func (n *LocalNetwork) receiver(from, to, channel string) func(string, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] {
		return nil
	}
	return n.handlers[to][channel]
}
