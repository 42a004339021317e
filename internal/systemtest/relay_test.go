package systemtest

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay passes UDP packets from one entry VM to another until it is cut. A cut
// relay drops packets without any sign to either side.
type relay struct {
	front *net.UDPConn
	to    *net.UDPAddr
	cut   atomic.Bool

	mu      sync.Mutex
	flows   map[string]*net.UDPConn // by source address
	stopped bool
}

// useRelays puts a relay between each ordered pair of entry VMs. Call it before start.
func (d *deployment) useRelays() {
	for _, from := range d.vms {
		for _, to := range d.vms {
			if from != to {
				d.relays[from.id+" "+to.id] = newRelay(d, to.peer)
			}
		}
	}
}

// peerAddress is where from reaches to.
func (d *deployment) peerAddress(from, to *vm) string {
	if r, found := d.relays[from.id+" "+to.id]; found {
		return r.front.LocalAddr().String()
	}
	return to.peer
}

// setCut cuts or heals the links between the entry VMs of a domain and all others.
func (d *deployment) setCut(domain string, cut bool) {
	for _, a := range d.vms {
		for _, b := range d.vms {
			if a != b && (a.domain == domain) != (b.domain == domain) {
				d.relays[a.id+" "+b.id].cut.Store(cut)
			}
		}
	}
}

func newRelay(d *deployment, target string) *relay {
	to, err := net.ResolveUDPAddr("udp", target)
	d.must(err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	d.must(err)
	r := &relay{front: front, to: to, flows: make(map[string]*net.UDPConn)}
	d.t.Cleanup(r.close)
	go r.forward()
	return r
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.front.Close()
	for _, back := range r.flows {
		back.Close()
	}
}

func (r *relay) forward() {
	buffer := make([]byte, 65536)
	for {
		n, source, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.cut.Load() {
			continue
		}
		if back := r.flow(source); back != nil {
			_, _ = back.Write(buffer[:n])
		}
	}
}

func (r *relay) flow(source *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if back, found := r.flows[source.String()]; found {
		return back
	}
	back, err := net.DialUDP("udp", nil, r.to)
	if err != nil || r.stopped {
		return nil
	}
	r.flows[source.String()] = back
	go r.backward(back, source)
	return back
}

func (r *relay) backward(back *net.UDPConn, source *net.UDPAddr) {
	buffer := make([]byte, 65536)
	for {
		n, err := back.Read(buffer)
		if err != nil {
			return
		}
		if !r.cut.Load() {
			_, _ = r.front.WriteToUDP(buffer[:n], source)
		}
	}
}
