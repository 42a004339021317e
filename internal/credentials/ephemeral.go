package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"
)

// ephemeralValidity is longer than any process runs and than any jump of its clock.
const ephemeralValidity = 100 * 365 * 24 * time.Hour

// Ephemeral is the identity of a VM in a deployment without keys: a certificate of an authority that the process creates
// at start and that no other VM knows. Connections are encrypted, but the VM id that the other side claims is not
// verified, so only the VMs of the deployment may have access to the network between them.
type Ephemeral struct{ certificate tls.Certificate }

// NewEphemeral creates the identity of a VM.
func NewEphemeral(vm string) (*Ephemeral, error) {
	// The other side does not verify the dates. A fixed start makes them independent of this VM's clock.
	start := time.Unix(0, 0).Add(2 * clockSkew)
	authority, err := NewAuthority(vm, ephemeralValidity, start)
	if err != nil {
		return nil, err
	}
	certPEM, keyPEM, err := authority.Issue(vm, ephemeralValidity, start)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, fmt.Errorf("create a certificate for %q: %w", vm, err)
	}
	return &Ephemeral{certificate: pair}, nil
}

// ServerTLS returns the configuration for incoming connections. authorize decides whether the VM named in the
// certificate may connect, and onRefused gets the error of each refused connection.
func (e *Ephemeral) ServerTLS(protocol string, authorize func(vm string) error, onRefused func(error)) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		vm, err := claimedVM(state.PeerCertificates)
		if err == nil {
			err = authorize(vm)
		}
		if err != nil {
			onRefused(err)
		}
		return err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{e.certificate},
		ClientAuth: tls.RequireAnyClientCert, VerifyConnection: verify, SessionTicketsDisabled: true}
}

// ClientTLS returns the configuration for a connection to a VM. An empty vm allows any VM.
func (e *Ephemeral) ClientTLS(protocol, vm string) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		named, err := claimedVM(state.PeerCertificates)
		if err == nil && vm != "" && named != vm {
			err = fmt.Errorf("the other side is VM %q instead of %q", named, vm)
		}
		return err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{e.certificate},
		InsecureSkipVerify: true, VerifyConnection: verify}
}

// claimedVM returns the VM named in the certificate of the other side, without verifying the certificate.
func claimedVM(chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", fmt.Errorf("the other side sent no certificate")
	}
	return VMOf(chain[0])
}
