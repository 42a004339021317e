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

// ErrExpired is in the chain of every error about a certificate outside of its validity.
var ErrExpired = errors.New("certificate is not valid at this time")

// loadPair reads a certificate and its key without checking dates.
func loadPair(certFile, keyFile string) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate %s with key %s: %w", certFile, keyFile, err)
	}
	return &pair, nil
}

// checkDates returns an error that names origin, date and remedy unless the certificate is valid at now.
func checkDates(origin string, c *x509.Certificate, now time.Time) error {
	if now.After(c.NotAfter) {
		return fmt.Errorf("%w: %s (%s) expired on %s; renew it with 'lentilyard keys renew'; no restart is needed",
			ErrExpired, origin, c.Subject.CommonName, c.NotAfter.UTC().Format(time.RFC3339))
	}
	if now.Before(c.NotBefore) {
		return fmt.Errorf("%w: %s (%s) is valid from %s on; check the clock of this VM",
			ErrExpired, origin, c.Subject.CommonName, c.NotBefore.UTC().Format(time.RFC3339))
	}
	return nil
}

// reloadInterval limits how often files are looked at.
const reloadInterval = time.Second

// files loads a value from files and loads it again when one of them changes. If that fails, it keeps the old value and
// tries again after reloadInterval.
type files[T any] struct {
	names []string
	load  func() (T, error)

	mu      sync.Mutex
	value   T
	stamps  []stamp
	checked time.Time
	err     error // of the last reload
}

// stamp identifies a version of a file.
type stamp struct {
	modified time.Time
	size     int64
}

func openFiles[T any](load func() (T, error), names ...string) (*files[T], error) {
	f := &files[T]{names: names, load: load, checked: time.Now()}
	f.stamps = f.look()
	var err error
	f.value, err = load()
	return f, err
}

func (f *files[T]) look() []stamp {
	stamps := make([]stamp, len(f.names))
	for i, name := range f.names {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// get returns the current value, and the error if newer files could not be used.
func (f *files[T]) get() (T, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) >= reloadInterval {
		f.checked = time.Now()
		f.reload()
	}
	return f.value, f.err
}

func (f *files[T]) reload() {
	stamps := f.look()
	if equalStamps(stamps, f.stamps) {
		return
	}
	value, err := f.load()
	f.err = err
	if err == nil {
		f.value, f.stamps = value, stamps
	}
}

func equalStamps(a, b []stamp) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

// Pair is a certificate and its key that are read again when their files change.
type Pair struct {
	certFile string
	files    *files[*tls.Certificate]
}

// OpenPair reads a certificate and its key. It returns ErrExpired, with file, date and remedy, if the certificate is
// expired.
func OpenPair(certFile, keyFile string) (*Pair, error) {
	load := func() (*tls.Certificate, error) { return loadPair(certFile, keyFile) }
	f, err := openFiles(load, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	p := &Pair{certFile, f}
	_, err = p.Certificate()
	return p, err
}

// Certificate returns the current certificate, or ErrExpired.
func (p *Pair) Certificate() (*tls.Certificate, error) {
	pair, reloadErr := p.files.get()
	if err := checkDates(p.certFile, pair.Leaf, time.Now()); err != nil {
		return nil, errors.Join(err, reloadErr)
	}
	return pair, nil
}

// GetCertificate serves as tls.Config.GetCertificate, for the HTTP listener.
func (p *Pair) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate() }

// Expiry returns the end of the validity of the current certificate.
func (p *Pair) Expiry() time.Time {
	pair, _ := p.files.get()
	return pair.Leaf.NotAfter
}

// ReloadError returns why newer files could not be used, or nil.
func (p *Pair) ReloadError() error {
	_, err := p.files.get()
	return err
}
