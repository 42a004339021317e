package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"
)

// ephemeralValidity exceeds the life of any process and any step of its clock.
const ephemeralValidity = 100 * 365 * 24 * time.Hour

// Ephemeral is the identity of a VM in a deployment without keys: a certificate that the process makes for itself.
// Connections are encrypted, but the VM id that the other side states is not verified, so the network between the VMs
// must admit nothing else.
type Ephemeral struct{ certificate tls.Certificate }

// NewEphemeral makes the identity of VM vm.
func NewEphemeral(vm string) (*Ephemeral, error) {
	// Dates are not verified; a fixed start keeps a wrong clock out of them.
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
		return nil, fmt.Errorf("make a certificate for %q: %w", vm, err)
	}
	return &Ephemeral{certificate: pair}, nil
}

// ServerTLS returns the configuration for incoming connections. accept decides on the VM that the certificate names.
func (e *Ephemeral) ServerTLS(protocol string, accept func(vm string) error, refused func(error)) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		vm, err := statedVM(state.PeerCertificates)
		if err == nil {
			err = accept(vm)
		}
		if err != nil {
			refused(err)
		}
		return err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{e.certificate},
		ClientAuth: tls.RequireAnyClientCert, VerifyConnection: verify, SessionTicketsDisabled: true}
}

// ClientTLS returns the configuration for a connection to VM vm. An empty vm accepts any.
func (e *Ephemeral) ClientTLS(protocol, vm string) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		named, err := statedVM(state.PeerCertificates)
		if err == nil && vm != "" && named != vm {
			err = fmt.Errorf("the other side is VM %q instead of %q", named, vm)
		}
		return err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{e.certificate},
		InsecureSkipVerify: true, VerifyConnection: verify}
}

func statedVM(chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", fmt.Errorf("the other side sent no certificate")
	}
	return VMOf(chain[0])
}
