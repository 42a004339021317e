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

// Store holds what an entry VM needs for mutual TLS with the others. All files are read again when they change.
type Store struct {
	vm          string
	pair        *Pair
	authorities *files[*x509.CertPool]
	caFile      string
}

// Open reads the files of entry VM vm. The CA file may hold several certificates, so that two authorities can be trusted
// while keys are rotated. Errors name the file and the remedy.
func Open(vm, caFile, certFile, keyFile string) (*Store, error) {
	pair, err := OpenPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	s := &Store{vm: vm, pair: pair, caFile: caFile}
	if _, err := s.certificate(); err != nil {
		return nil, err
	}
	s.authorities, err = openFiles(s.loadAuthorities, caFile)
	if err != nil {
		return nil, err
	}
	return s, s.checkOwnChain()
}

// checkOwnChain finds out at the start that the other VMs will refuse the certificate.
func (s *Store) checkOwnChain() error {
	own, err := s.certificate()
	if err != nil {
		return err
	}
	if err := s.verify([]*x509.Certificate{own.Leaf}, x509.ExtKeyUsageServerAuth); err != nil {
		return fmt.Errorf("certificate %s is not signed by an authority in %s: %w", s.pair.certFile, s.caFile, err)
	}
	return nil
}

func (s *Store) loadAuthorities() (*x509.CertPool, error) {
	data, err := os.ReadFile(s.caFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
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

// ReloadError returns why newer files could not be used, or nil.
func (s *Store) ReloadError() error {
	_, err := s.authorities.get()
	return errors.Join(s.pair.ReloadError(), err)
}

// verify checks chain, dates and usage of a certificate.
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

// ServerTLS returns the configuration for incoming connections. accept decides on the VM that the certificate names.
// Every refusal is passed to refused, since TLS reports it to the other side only.
func (s *Store) ServerTLS(protocol string, accept func(vm string) error, refused func(error)) *tls.Config {
	verify := func(state tls.ConnectionState) error {
		err := s.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth)
		if err == nil {
			var vm string
			if vm, err = VMOf(state.PeerCertificates[0]); err == nil {
				err = accept(vm)
			}
		}
		if err != nil {
			refused(err)
		}
		return err
	}
	get := func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		own, err := s.certificate()
		if err == nil {
			return own, nil
		}
		refused(err)
		own, _ = s.pair.files.get() // lets the other side see, refuse and log an expired certificate
		return own, nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, GetCertificate: get,
		ClientAuth: tls.RequireAnyClientCert, VerifyConnection: verify, SessionTicketsDisabled: true}
}

// ClientTLS returns the configuration for a connection to entry VM vm.
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
	// VerifyConnection checks chain and VM id in place of the standard check of host names, which VMs don't have.
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ServerName: "lentilyard",
		InsecureSkipVerify: true, VerifyConnection: verify, GetClientCertificate: get}
}
