// Package fleet contains the code that intake VMs and control VMs share: checks of their settings, the transport between
// them, the names of the methods that they call on each other, and their HTTP server.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/credentials"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/machine"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/peer"
)

// Methods that VMs call on control VMs.
const (
	MethodMembers     = "fleet.members"
	MethodSubmit      = "submission.submit"
	MethodState       = "submission.state"
	MethodCancel      = "submission.cancel"
	MethodReport      = "worker.report"
	MethodPutConfig   = "config.put"
	MethodGetConfig   = "config.get"
	MethodStartWave   = "wave.start"
	MethodWaveOutcome = "wave.outcome"
)

// Methods that intake VMs call on each other.
const (
	MethodForward = "intake.forward"
	MethodOffer   = "intake.offer"
)

// Transport carries calls and messages between the VMs of a deployment that has no static list of VMs. The id of a VM is
// its IP address, and all VMs use the same port.
type Transport struct {
	*peer.Transport
	port uint16
}

const (
	// keepAlive and idleTimeout bound the time until a dead connection is detected and replaced.
	keepAlive   = 300 * time.Millisecond
	idleTimeout = time.Second
)

// OpenTransport starts listening for other VMs on the address in listen.peer.
func OpenTransport(s *pb.FleetSettings, log zerolog.Logger) (*Transport, error) {
	listen, err := netip.ParseAddrPort(s.GetListen().GetPeer())
	if err != nil {
		return nil, fmt.Errorf("listen.peer: %w", err)
	}
	identity, err := credentials.NewEphemeral(s.GetId())
	if err != nil {
		return nil, err
	}
	transport, err := peer.New(peer.Config{ID: s.GetId(), Listen: listen.String(), Credentials: identity, AllowUnknownPeers: true, Logger: log,
		KeepAlive: keepAlive, IdleTimeout: idleTimeout})
	if err != nil {
		return nil, err
	}
	return &Transport{Transport: transport, port: listen.Port()}, nil
}

// Connect starts connecting to a VM in the background unless it is already a peer.
func (t *Transport) Connect(vm string) error {
	return t.AddPeer(vm, net.JoinHostPort(vm, fmt.Sprint(t.port)))
}

// Send implements replica.Messenger. It first connects to the VM if it is not a peer yet.
func (t *Transport) Send(to, channel string, payload []byte) {
	if err := t.Connect(to); err == nil {
		t.Transport.Send(to, channel, payload)
	}
}

// AwaitConnection implements relay.Messenger.
func (t *Transport) AwaitConnection(ctx context.Context, to string) error {
	if err := t.Connect(to); err != nil {
		return err
	}
	return t.WaitReachable(ctx, to)
}

// KeepOnly removes all peers that are not in vms and closes their connections.
func (t *Transport) KeepOnly(vms []string) {
	for _, vm := range t.Peers() {
		if !slices.Contains(vms, vm) {
			t.RemovePeer(vm)
		}
	}
}

// NotSent reports whether a failed call certainly did not reach its handler, so that it can be retried safely.
func NotSent(err error) bool {
	return errors.Is(err, peer.ErrNotSent) || errors.Is(err, errs.ErrDraining)
}

// SeedVMs returns the ids of the VMs that the settings name as seeds.
func SeedVMs(s *pb.FleetSettings) []string {
	var vms []string
	for _, seed := range s.GetSeeds() {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			vms = append(vms, host)
		}
	}
	return vms
}

// Validate checks the settings of a control VM or, if control is false, of an intake VM. Its error names an invalid field and
// how to correct it.
func Validate(s *pb.FleetSettings, control bool) error {
	listen := s.GetListen()
	addresses := map[string]string{"listen.peer": listen.GetPeer()}
	if control {
		addresses["listen.control"] = listen.GetControl()
	} else {
		addresses["listen.callers"], addresses["listen.ready"] = listen.GetCallers(), listen.GetReady()
	}
	for field, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s: %q is not of the form IP:port; set the address to listen on", field, address)
		}
	}
	if _, err := netip.ParseAddr(s.GetId()); err != nil {
		return fmt.Errorf("id: %q is not an IP address; set the IP address of this VM", s.GetId())
	}
	for _, seed := range s.GetSeeds() {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return fmt.Errorf("seeds: %q is not of the form IP:port; list addresses of control VMs", seed)
		}
	}
	if m := s.GetLimits().GetMemoryMb(); m > 0 && m < machine.LeastMemoryMB {
		return fmt.Errorf("limits.memoryMb: %d is too little; state at least %d, or remove the key to use the memory of the machine", m, machine.LeastMemoryMB)
	}
	if len(s.GetSeeds()) == 0 {
		return errors.New("seeds: the list is empty; list at least one address of a control VM")
	}
	if control && s.GetDataFolder() == "" {
		return errors.New("dataFolder: the value is empty; a control VM needs a folder on its disk")
	}
	if control && s.GetOrders() != "call" {
		return fmt.Errorf("orders: %q is not supported; set it to \"call\"", s.GetOrders())
	}
	if control && s.GetBounds().GetLeaseMax().AsDuration() <= 0 {
		return errors.New("bounds.leaseMax: the value must be above 0; set the longest lease that workers grant")
	}
	return nil
}
