package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"time"
)

// Store holds the certificate, the key and the trusted authorities of an entry VM, for mutual TLS with the other entry
// VMs. They are reloaded when their files change.
type Store struct {
	vm          string
	pair        *Pair
	authorities *reloadable[*x509.CertPool]
	caFile      string
}

// Open reads the credentials of an entry VM and verifies that its certificate is valid, names vm and is signed by a
// trusted authority. The CA file may hold several certificates, so that the old and the new authority are both trusted
// during a rotation.
func Open(vm, caFile, certFile, keyFile string) (*Store, error) {
	pair, err := OpenPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	s := &Store{vm: vm, pair: pair, caFile: caFile}
	if _, err := s.certificate(); err != nil {
		return nil, err
	}
	s.authorities, err = openReloadable(s.loadAuthorities, caFile)
	if err != nil {
		return nil, err
	}
	return s, s.verifyOwnCertificate()
}

// verifyOwnCertificate verifies the VM's own certificate as the other VMs will, so that a certificate that they would
// refuse is reported at start.
func (s *Store) verifyOwnCertificate() error {
	own, err := s.certificate()
	if err != nil {
		return err
	}
	if err := s.verify([]*x509.Certificate{own.Leaf}, x509.ExtKeyUsageServerAuth); err != nil {
		return fmt.Errorf("certificate %s is not signed by an authority in %s: %w", s.pair.certFile, s.caFile, err)
	}
	return nil
}

// loadAuthorities reads the CA file. It skips expired authorities and returns an error if none is left.
func (s *Store) loadAuthorities() (*x509.CertPool, error) {
	data, err := os.ReadFile(s.caFile)
	if err != nil {
		return nil, fmt.Errorf("read the certificate authority: %w", err)
	}
	pool, count := x509.NewCertPool(), 0
	var expired error
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		authority, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate authority %s: %w", s.caFile, err)
		}
		if err := checkDates(s.caFile, authority, time.Now()); err != nil {
			expired = err
			continue
		}
		pool.AddCert(authority)
		count++
	}
	if count == 0 && expired != nil {
		return nil, expired
	}
	if count == 0 {
		return nil, fmt.Errorf("certificate authority %s holds no valid certificate; create one with 'lentilyard keys ca'", s.caFile)
	}
	return pool, nil
}

// certificate returns the VM's certificate, or an error if it is not valid now or names another VM.
func (s *Store) certificate() (*tls.Certificate, error) {
	pair, err := s.pair.Certificate()
	if err != nil {
		return nil, err
	}
	named, err := VMOf(pair.Leaf)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.pair.certFile, err)
	}
	if named != s.vm {
		return nil, fmt.Errorf("certificate %s is for entry VM %q, but this is %q; set peerTls.certFile and keyFile to the files of %q", s.pair.certFile, named, s.vm, s.vm)
	}
	return pair, nil
}

// Expiry returns the end of the validity of the VM's certificate.
func (s *Store) Expiry() time.Time { return s.pair.Expiry() }

// ReloadError returns the errors of the last reload of the certificate and of the authorities, or nil if both succeeded.
func (s *Store) ReloadError() error {
	_, err := s.authorities.get()
	return errors.Join(s.pair.ReloadError(), err)
}

// verify checks that the certificate of the other side is valid now, is signed by a trusted authority and allows the
// usage.
func (s *Store) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("the other side sent no certificate")
	}
	now := time.Now()
	if err := checkDates("certificate of the other side", chain[0], now); err != nil {
		return err
	}
	roots, _ := s.authorities.get()
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}

// ServerTLS returns the configuration for incoming connections. authorize decides whether the VM named in the
// certificate may connect. onRefused gets the error of each refused connection, which TLS reports only to the other side.
func (s *Store) ServerTLS(protocol string, authorize func(vm string) error, onRefused func(error)) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		err := s.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth)
		if err == nil {
			var vm string
			if vm, err = VMOf(state.PeerCertificates[0]); err == nil {
				err = authorize(vm)
			}
		}
		if err != nil {
			onRefused(err)
		}
		return err
	}
	get := func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		own, err := s.certificate()
		if err == nil {
			return own, nil
		}
		onRefused(err)
		own, _ = s.pair.certificate.get() // sends an expired certificate, so that the other side refuses it and logs why
		return own, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, GetCertificate: get,
		ClientAuth: tls.RequireAnyClientCert, VerifyConnection: verify, SessionTicketsDisabled: true}
}

// ClientTLS returns the configuration for a connection to an entry VM.
func (s *Store) ClientTLS(protocol, vm string) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		if err := s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth); err != nil {
			return err
		}
		named, err := VMOf(state.PeerCertificates[0])
		if err != nil {
			return err
		}
		if named != vm {
			return fmt.Errorf("the certificate names entry VM %q instead of %q; check the address of %q in entryVms", named, vm, vm)
		}
		return nil
	}
	get := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate() }
	// VerifyConnection verifies the certificate and its VM id. It replaces the standard verification of host names, which
	// the certificates of VMs do not have.
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ServerName: "lentilyard",
		InsecureSkipVerify: true, VerifyConnection: verify, GetClientCertificate: get}
}
