package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// ErrExpired is wrapped by every error about a certificate that has expired or is not valid yet.
var ErrExpired = errors.New("certificate is not valid at this time")

// loadPair reads a certificate and its key. It does not check the validity period.
func loadPair(certFile, keyFile string) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", certFile, keyFile, err)
	}
	return &pair, nil
}

// checkDates returns an ErrExpired unless the certificate is valid at now. Its text names the source of the certificate,
// the date and the remedy.
func checkDates(source string, c *x509.Certificate, now time.Time) error {
	if now.After(c.NotAfter) {
		return fmt.Errorf("%w: %s (%s) expired on %s; renew it with 'lentilyard keys renew'; no restart is needed",
			ErrExpired, source, c.Subject.CommonName, c.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(c.NotBefore) {
		return fmt.Errorf("%w: %s (%s) is valid from %s on; check the clock of this VM",
			ErrExpired, source, c.Subject.CommonName, c.NotBefore.UTC().Format(time.RFC3339))
	}
	return nil
}

// reloadInterval is the minimum time between two checks whether files have changed.
const reloadInterval = time.Second

// reloadable is a value that is loaded from files and reloaded when one of them changes. If a reload fails, it keeps the
// old value and tries again after reloadInterval.
type reloadable[T any] struct {
	names []string
	load  func() (T, error)

	mu        sync.Mutex
	value     T
	versions  []fileVersion
	checkedAt time.Time
	err       error // of the last reload
}

// fileVersion identifies a version of a file by its modification time and size. It is zero for a missing file.
type fileVersion struct {
	modified time.Time
	size     int64
}

func openReloadable[T any](load func() (T, error), names ...string) (*reloadable[T], error) {
	f := &reloadable[T]{names: names, load: load, checkedAt: time.Now()}
	f.versions = f.stat()
	var err error
	f.value, err = load()
	return f, err
}

func (f *reloadable[T]) stat() []fileVersion {
	versions := make([]fileVersion, len(f.names))
	for i, name := range f.names {
		if info, err := os.Stat(name); err == nil {
			versions[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return versions
}

// get returns the current value, and the error of the last reload if it failed.
func (f *reloadable[T]) get() (T, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checkedAt) >= reloadInterval {
		f.checkedAt = time.Now()
		f.reload()
	}
	return f.value, f.err
}

func (f *reloadable[T]) reload() {
	versions := f.stat()
	if equalVersions(versions, f.versions) {
		return
	}
	value, err := f.load()
	f.err = err
	if err == nil {
		f.value, f.versions = value, versions
	}
}

func equalVersions(a, b []fileVersion) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

// Pair is a certificate and its key, which are reloaded when their files change.
type Pair struct {
	certFile    string
	certificate *reloadable[*tls.Certificate]
}

// OpenPair reads a certificate and its key. It returns an ErrExpired if the certificate is not valid now.
func OpenPair(certFile, keyFile string) (*Pair, error) {
	load := func() (*tls.Certificate, error) { return loadPair(certFile, keyFile) }
	f, err := openReloadable(load, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	p := &Pair{certFile, f}
	_, err = p.Certificate()
	return p, err
}

// Certificate returns the current certificate with its key, or an ErrExpired if it is not valid now.
func (p *Pair) Certificate() (*tls.Certificate, error) {
	pair, reloadErr := p.certificate.get()
	if err := checkDates(p.certFile, pair.Leaf, time.Now()); err != nil {
		return nil, errors.Join(err, reloadErr)
	}
	return pair, nil
}

// GetCertificate implements tls.Config.GetCertificate for the HTTP listener.
func (p *Pair) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate() }

// Expiry returns the end of the validity of the current certificate.
func (p *Pair) Expiry() time.Time {
	pair, _ := p.certificate.get()
	return pair.Leaf.NotAfter
}

// ReloadError returns the error of the last reload, or nil if it succeeded.
func (p *Pair) ReloadError() error {
	_, err := p.certificate.get()
	return err
}
