// Package credentials creates, loads and verifies the credentials of a deployment: a certificate authority, certificates
// that name an entry VM, and bearer tokens.
package credentials

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"strings"
	"time"
)

// Default validity of certificates.
const (
	AuthorityValidity   = 10 * 365 * 24 * time.Hour
	CertificateValidity = 90 * 24 * time.Hour
)

// clockSkew is how far NotBefore lies in the past, so that a VM whose clock is behind accepts a new certificate at once.
const clockSkew = 5 * time.Minute

// vmURIPrefix is the prefix of the certificate URI that names the entry VM.
const vmURIPrefix = "lentilyard:vm:"

// Authority signs the certificates of entry VMs.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates a certificate authority that is valid from now.
func NewAuthority(name string, validity time.Duration, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate the key of the authority: %w", err)
	}
	template, err := newCertificateTemplate(name, validity, now)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid, template.MaxPathLenZero = true, true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create the certificate of the authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse the certificate of the authority: %w", err)
	}
	return &Authority{certificate, key}, nil
}

// newCertificateTemplate returns a template with a random serial number and the validity period.
func newCertificateTemplate(name string, validity time.Duration, now time.Time) (*x509.Certificate, error) {
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate a serial number: %w", err)
	}
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity)}, nil
}

// Issue creates a key and a certificate for an entry VM, both PEM-encoded. It returns an error if the certificate would
// expire after the authority.
func (a *Authority) Issue(vm string, validity time.Duration, now time.Time) (certPEM, keyPEM []byte, err error) {
	if vm == "" {
		return nil, nil, errors.New("issue a certificate: the id of the entry VM is empty")
	}
	if now.Add(validity).After(a.certificate.NotAfter) {
		return nil, nil, fmt.Errorf("issue a certificate for %q: the authority expires on %s; choose a shorter validity or create a new authority",
			vm, formatDate(a.certificate.NotAfter))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate the key of %q: %w", vm, err)
	}
	template, err := newCertificateTemplate(vm, validity, now)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: "lentilyard", Opaque: "vm:" + url.PathEscape(vm)}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("create the certificate of %q: %w", vm, err)
	}
	keyPEM, err = encodeKey(key)
	return encodeCertificate(der), keyPEM, err
}

// VMOf returns the id of the entry VM that the certificate names. It returns an error unless there is exactly one.
func VMOf(c *x509.Certificate) (string, error) {
	var ids []string
	for _, uri := range c.URIs {
		if escaped, ok := strings.CutPrefix(uri.String(), vmURIPrefix); ok {
			id, err := url.PathUnescape(escaped)
			if err != nil {
				return "", fmt.Errorf("certificate %q: %w", c.Subject.CommonName, err)
			}
			ids = append(ids, id)
		}
	}
	if len(ids) != 1 {
		return "", fmt.Errorf("certificate %q names %d entry VMs instead of one", c.Subject.CommonName, len(ids))
	}
	return ids[0], nil
}

// Save writes the certificate and the key of the authority. The key must not be stored on any entry VM.
func (a *Authority) Save(certFile, keyFile string) error {
	key, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	return WritePair(certFile, encodeCertificate(a.certificate.Raw), keyFile, key)
}

// LoadAuthority reads an authority from the files that Save wrote.
func LoadAuthority(certFile, keyFile string) (*Authority, error) {
	pair, err := loadPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, fmt.Errorf("%s is not the certificate of an authority; name the files that 'lentilyard keys ca' wrote", certFile)
	}
	return &Authority{pair.Leaf, signer}, nil
}

// Renew replaces the certificate in certFile and its key by new ones for the same entry VM. The old certificate may have
// expired. Running processes load the new files for their next connection, at most once per reloadInterval.
func (a *Authority) Renew(certFile, keyFile string, validity time.Duration, now time.Time) error {
	old, err := loadPair(certFile, keyFile)
	if err != nil {
		return err
	}
	vm, err := VMOf(old.Leaf)
	if err != nil {
		return fmt.Errorf("%s: %w", certFile, err)
	}
	certPEM, keyPEM, err := a.Issue(vm, validity, now)
	if err != nil {
		return err
	}
	return WritePair(certFile, certPEM, keyFile, keyPEM)
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func encodeKey(key crypto.Signer) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("encode the private key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// WritePair writes a certificate and its key, the key first and readable by its owner only. Each file is replaced
// atomically, but not both together: a process that loads the new key with the old certificate finds that they do not
// match and keeps the pair that it has.
func WritePair(certFile string, certPEM []byte, keyFile string, keyPEM []byte) error {
	const keyMode, certMode = 0o600, 0o644
	if err := replaceFile(keyFile, keyPEM, keyMode); err != nil {
		return err
	}
	return replaceFile(certFile, certPEM, certMode)
}

// replaceFile writes a temporary file, syncs it and renames it to name.
func replaceFile(name string, data []byte, mode os.FileMode) error {
	tempName := name + ".new"
	file, err := os.OpenFile(tempName, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	_, err = file.Write(data)
	err = errors.Join(err, file.Chmod(mode), file.Sync(), file.Close())
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(tempName, name); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

func formatDate(t time.Time) string { return t.UTC().Format(time.DateOnly) }
