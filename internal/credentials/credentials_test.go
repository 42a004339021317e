package credentials

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// testFiles is a temporary directory with an authority and the certificates that it issued.
type testFiles struct {
	t   *testing.T
	dir string
	ca  *Authority
}

func newTestFiles(t *testing.T) *testFiles {
	t.Helper()
	f := &testFiles{t: t, dir: t.TempDir()}
	f.newAuthority()
	return f
}

func (f *testFiles) path(name string) string { return filepath.Join(f.dir, name) }

func (f *testFiles) newAuthority() {
	f.t.Helper()
	ca, err := NewAuthority("hanbit", AuthorityValidity, time.Now())
	if err == nil {
		err = ca.Save(f.path("ca.pem"), f.path("ca.key"))
	}
	if err == nil {
		f.ca, err = LoadAuthority(f.path("ca.pem"), f.path("ca.key"))
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// issue writes a certificate of vm and its key. at is the time of issue and may be in the past.
func (f *testFiles) issue(vm string, validity time.Duration, at time.Time) {
	f.t.Helper()
	certPEM, keyPEM, err := f.ca.Issue(vm, validity, at)
	if err == nil {
		err = WritePair(f.path(vm+".pem"), certPEM, f.path(vm+".key"), keyPEM)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFiles) open(vm string) (*Store, error) {
	return Open(vm, f.path("ca.pem"), f.path(vm+".pem"), f.path(vm+".key"))
}

func TestExpiredCertificateNamesRemedy(t *testing.T) {
	// Guards against an error for an expired certificate that does not name the file, the date and the remedy.
	is := is.New(t)
	f := newTestFiles(t)
	f.issue("a1", 24*time.Hour, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	_, err := f.open("a1")
	is.True(errors.Is(err, ErrExpired))
	t.Log(err)
	for _, part := range []string{f.path("a1.pem"), "2026-01-02T00:00:00Z", "lentilyard keys renew"} {
		is.True(strings.Contains(err.Error(), part))
	}
	is.NoErr(f.ca.Renew(f.path("a1.pem"), f.path("a1.key"), time.Hour, time.Now()))
	_, err = f.open("a1")
	is.NoErr(err)
	info, err := os.Stat(f.path("a1.key"))
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
}

func TestOpenRefusesUnusableCertificates(t *testing.T) {
	// Guards against a VM that starts with a certificate that all other VMs refuse.
	is := is.New(t)
	f := newTestFiles(t)
	f.issue("a1", time.Hour, time.Now())
	_, err := Open("b1", f.path("ca.pem"), f.path("a1.pem"), f.path("a1.key"))
	is.True(err != nil && strings.Contains(err.Error(), `is for entry VM "a1", but this is "b1"`))
	f.newAuthority()
	_, err = f.open("a1")
	is.True(err != nil && strings.Contains(err.Error(), "not signed by an authority"))
	_, _, err = f.ca.Issue("a1", 2*AuthorityValidity, time.Now())
	is.True(err != nil && strings.Contains(err.Error(), "authority expires"))
	_, err = LoadAuthority(f.path("a1.pem"), f.path("a1.key"))
	is.True(err != nil)
}

// handshake makes a TLS handshake over TCP. It returns the error of the server if there is one, else that of the client.
func handshake(t *testing.T, client, server *Store, clientVM, serverVM string) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	var accepted string
	accept := func(vm string) error { accepted = vm; return nil }
	serverErr := make(chan error, 1)
	go func() {
		conn := tls.Server(serverConn, server.ServerTLS("p", accept, func(error) {}))
		serverErr <- conn.Handshake()
		serverConn.Close()
	}()
	err = tls.Client(clientConn, client.ClientTLS("p", serverVM)).Handshake()
	clientConn.Close()
	if err := <-serverErr; err != nil {
		return err
	}
	if err == nil && accepted != clientVM {
		t.Fatalf("accepted %q, want %q", accepted, clientVM)
	}
	return err
}

func TestRotationWithoutRestart(t *testing.T) {
	// Guards against a rotation of the certificates or of the authority that needs a restart or interrupts connections.
	is := is.New(t)
	f := newTestFiles(t)
	f.issue("a1", time.Hour, time.Now())
	f.issue("b1", time.Hour, time.Now())
	a, err := f.open("a1")
	is.NoErr(err)
	b, err := f.open("b1")
	is.NoErr(err)
	is.NoErr(handshake(t, a, b, "a1", "b1"))
	is.True(handshake(t, a, b, "a1", "c1") != nil) // b1 is not the VM that the client expects

	oldCA, err := os.ReadFile(f.path("ca.pem"))
	is.NoErr(err)
	f.newAuthority() // 1. trust a new authority in addition to the old one
	newCA, err := os.ReadFile(f.path("ca.pem"))
	is.NoErr(err)
	is.NoErr(os.WriteFile(f.path("ca.pem"), append(oldCA, newCA...), 0o600))
	time.Sleep(reloadInterval)
	is.NoErr(handshake(t, a, b, "a1", "b1"))
	f.issue("a1", 2*time.Hour, time.Now()) // 2. replace the certificates, one VM after the other
	time.Sleep(reloadInterval)
	is.NoErr(handshake(t, a, b, "a1", "b1"))
	is.True(time.Until(a.Expiry()) > time.Hour)
	is.NoErr(os.WriteFile(f.path("ca.pem"), newCA, 0o600)) // 3. stop trusting the old authority
	time.Sleep(reloadInterval)
	is.True(handshake(t, a, b, "a1", "b1") != nil) // b1 still has its old certificate
	f.issue("b1", time.Hour, time.Now())
	time.Sleep(reloadInterval)
	is.NoErr(handshake(t, a, b, "a1", "b1"))

	is.NoErr(os.WriteFile(f.path("a1.pem"), []byte("half a fi"), 0o600))
	time.Sleep(reloadInterval)
	is.NoErr(handshake(t, a, b, "a1", "b1")) // the last valid files stay in use
	is.True(a.ReloadError() != nil)
}

func TestTokens(t *testing.T) {
	// Guards against a listed token that is not found, a digest that is accepted as a token, and a Replace that keeps old
	// tokens.
	is := is.New(t)
	value, digest := NewToken()
	other, _ := NewToken()
	is.True(value != other)
	list := []*pb.Token{{Name: "x", Sha256: strings.Repeat("0", 64)}, {Name: "op", Sha256: digest, Role: "operator"}}
	tokens, err := NewTokens(list)
	is.NoErr(err)
	found, err := tokens.Authenticate("bearer " + value)
	is.NoErr(err)
	is.Equal(found.Name, "op")
	for _, header := range []string{"", "Bearer", "Bearer ", "Basic " + value, "Bearer " + digest, "Bearer " + other, value, "Bearer " + strings.Repeat("x", 1<<20)} {
		_, err = tokens.Authenticate(header)
		is.True(errors.Is(err, errs.ErrUnauthenticated))
	}
	is.True(tokens.Replace([]*pb.Token{{Name: "bad", Sha256: "zz"}}) != nil)
	is.True(tokens.Lookup(value) != nil)
	is.NoErr(tokens.Replace(nil))
	is.True(tokens.Lookup(value) == nil)
}

func BenchmarkLookup(b *testing.B) {
	value, digest := NewToken()
	var list []*pb.Token
	for range 99 {
		_, other := NewToken()
		list = append(list, &pb.Token{Sha256: other})
	}
	tokens, err := NewTokens(append(list, &pb.Token{Sha256: digest}))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		tokens.Lookup(value)
	}
}
