package systemtest

import (
	"net/netip"

	"github.com/lentilyard/lentilyard/internal/netfault"
)

// peerLink is the relay from one entry VM to another, with the link state that affects its packets.
type peerLink struct {
	*netfault.Relay
	*netfault.Link
}

// useRelays puts a relay between each ordered pair of entry VMs. Call it before start.
func (d *deployment) useRelays() {
	for _, from := range d.vms {
		for _, to := range d.vms {
			if from != to {
				d.relays[from.id+" "+to.id] = d.newRelay(to.peerAddress)
			}
		}
	}
}

// newRelay starts a relay to an address and closes it at the end of the test.
func (d *deployment) newRelay(target string) peerLink {
	link := netfault.NewLink()
	relay, err := netfault.NewRelay("127.0.0.1:0", target, func(netip.Addr) *netfault.Link { return link })
	d.must(err)
	d.t.Cleanup(relay.Close)
	return peerLink{relay, link}
}

// peerAddress returns the address at which from reaches to.
func (d *deployment) peerAddress(from, to *vm) string {
	if r, found := d.relays[from.id+" "+to.id]; found {
		return r.Addr()
	}
	return to.peerAddress
}

// setPartitioned drops or passes all packets between the entry VMs of a failure domain and all others.
func (d *deployment) setPartitioned(domain string, cut bool) {
	for _, a := range d.vms {
		for _, b := range d.vms {
			if a != b && (a.domain == domain) != (b.domain == domain) {
				d.relays[a.id+" "+b.id].Set(netfault.State{CutTo: cut, CutFrom: cut})
			}
		}
	}
}
