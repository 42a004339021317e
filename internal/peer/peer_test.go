package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/credentials"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// deployment starts transports whose certificates are signed by one authority.
type deployment struct {
	t     testing.TB
	ca    *credentials.Authority
	dir   string            // of the certificates and keys
	addrs map[string]string // by VM id
}

func newDeployment(t testing.TB, ids ...string) *deployment {
	t.Helper()
	ca, err := credentials.NewAuthority("test", credentials.AuthorityValidity, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{t: t, ca: ca, dir: t.TempDir(), addrs: map[string]string{}}
	for _, id := range ids {
		d.addrs[id] = freeAddress(t)
	}
	return d
}

func freeAddress(t testing.TB) string {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	return socket.LocalAddr().String()
}

// store issues a certificate that is valid for an hour and opens it as entry VM vm.
func (d *deployment) store(vm string) *credentials.Store {
	return d.storeFor(vm, time.Hour)
}

func (d *deployment) storeFor(vm string, validity time.Duration) *credentials.Store {
	d.t.Helper()
	name := func(suffix string) string { return filepath.Join(d.dir, vm+suffix) }
	certPEM, keyPEM, err := d.ca.Issue(vm, validity, time.Now())
	if err == nil {
		err = errors.Join(credentials.WritePair(name(".pem"), certPEM, name(".key"), keyPEM), d.ca.Save(name("-ca.pem"), name("-ca.key")))
	}
	if err != nil {
		d.t.Fatal(err)
	}
	store, err := credentials.Open(vm, name("-ca.pem"), name(".pem"), name(".key"))
	if err != nil {
		d.t.Fatal(err)
	}
	return store
}

func (d *deployment) start(id string) *Transport {
	d.t.Helper()
	tr, err := New(Config{ID: id, Listen: d.addrs[id], Peers: d.addrs, Credentials: d.store(id), Logger: zerolog.Nop()})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = tr.Close() })
	return tr
}

func connectedPair(t testing.TB) (a, b *Transport) {
	t.Helper()
	d := newDeployment(t, "a", "b")
	a, b = d.start("a"), d.start("b")
	waitReachable(t, a, "b")
	waitReachable(t, b, "a")
	return a, b
}

func waitReachable(t testing.TB, tr *Transport, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := tr.WaitReachable(ctx, id); err != nil {
		t.Fatal(err)
	}
}

func timeoutContext(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// echo answers with the encoded request.
func echo(_ context.Context, from string, req []byte) (proto.Message, error) {
	return &pb.ProposeAnswer{Result: req}, nil
}

func TestCall(t *testing.T) {
	// Guards against answers that are truncated or confused with each other, and against handler errors that lose their
	// type, in calls over the network and in calls to this VM.
	a, b := connectedPair(t)
	b.HandleCall("echo", echo)
	a.HandleCall("echo", echo)
	wantErr := &errs.Error{Code: "no-quorum", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun, Message: "m", Remedy: "r"}
	refuse := func(context.Context, string, []byte) (proto.Message, error) {
		return nil, fmt.Errorf("handler: %w", wantErr)
	}
	b.HandleCall("refuse", refuse)
	a.HandleCall("refuse", refuse)
	for _, to := range []string{"a", "b"} {
		t.Run("to "+to, func(t *testing.T) {
			is := is.New(t)
			ctx := timeoutContext(t, 20*time.Second)
			for _, size := range []int{0, 1, 100_000, MaxMessageBytes - 100} {
				req, resp := &pb.ProposeRequest{Entry: bytes.Repeat([]byte{7}, size)}, &pb.ProposeAnswer{}
				is.NoErr(a.Call(ctx, to, "echo", req, resp))
				got := &pb.ProposeRequest{}
				is.NoErr(proto.Unmarshal(resp.Result, got))
				is.True(bytes.Equal(got.Entry, req.Entry))
			}
			var typed *errs.Error
			is.True(errors.As(a.Call(ctx, to, "refuse", &pb.ProposeRequest{}, &pb.ProposeAnswer{}), &typed))
			is.Equal(*typed.Proto(), *wantErr.Proto())
			is.Equal(typed.Status, wantErr.Status)
			is.True(errors.Is(a.Call(ctx, to, "none", &pb.ProposeRequest{}, &pb.ProposeAnswer{}), ErrUnknownMethod))
			tooLarge := &pb.ProposeRequest{Entry: make([]byte, MaxMessageBytes+1)}
			is.True(errors.Is(a.Call(ctx, to, "echo", tooLarge, &pb.ProposeAnswer{}), ErrNotSent))
		})
	}
	is.New(t).True(errors.Is(a.Call(timeoutContext(t, time.Second), "z", "echo", &pb.ProposeRequest{}, &pb.ProposeAnswer{}), ErrNotSent))
}

func TestCallDeadline(t *testing.T) {
	// Guards against a handler whose context does not end with the caller's deadline or cancellation.
	is := is.New(t)
	a, b := connectedPair(t)
	ended := make(chan error, 2)
	wait := func(ctx context.Context, _ string, _ []byte) (proto.Message, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	}
	b.HandleCall("wait", wait)
	err := a.Call(timeoutContext(t, 50*time.Millisecond), "b", "wait", &pb.ProposeRequest{}, &pb.ProposeAnswer{})
	is.True(errors.Is(err, ErrNoAnswer) && errors.Is(err, context.DeadlineExceeded))
	is.True(<-ended != nil)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	err = a.Call(ctx, "b", "wait", &pb.ProposeRequest{}, &pb.ProposeAnswer{})
	is.True(errors.Is(err, ErrNoAnswer) && errors.Is(err, context.Canceled))
	is.Equal(<-ended, context.Canceled)
}

func TestMessageOrder(t *testing.T) {
	// Guards against reordered messages, messages lost on a working connection, and a Send that blocks on a slow receiver.
	is := is.New(t)
	a, b := connectedPair(t)
	const count = 500
	for _, to := range []struct {
		id string
		tr *Transport
	}{{"b", b}, {"a", a}} {
		got := make(chan byte, count)
		to.tr.Handle("c", func(from string, payload []byte) { got <- payload[0] })
		for i := range count {
			a.Send(to.id, "c", []byte{byte(i)})
		}
		for i := range count {
			is.Equal(<-got, byte(i))
		}
	}
	is.Equal(a.Dropped(), uint64(0))
	block := make(chan struct{})
	defer close(block)
	b.Handle("slow", func(string, []byte) { <-block })
	started := time.Now()
	for range 3 * maxQueuedMessages {
		a.Send("b", "slow", make([]byte, 64<<10))
	}
	is.True(time.Since(started) < 5*time.Second)
	is.True(a.Dropped() > 0)
	a.Send("nobody", "c", nil)
}

func TestStreams(t *testing.T) {
	// Guards against lost bytes, and against a reset stream or a failed handler that the reader takes for the regular end.
	a, b := connectedPair(t)
	cases := map[string]func(ctx context.Context, from string, s Stream){
		"copy":    func(_ context.Context, _ string, s Stream) { _, _ = io.Copy(s, s); _ = s.CloseWrite() },
		"half":    func(_ context.Context, _ string, s Stream) { _, _ = s.Write([]byte("half")) },
		"cancel":  func(_ context.Context, _ string, s Stream) { _, _ = s.Write([]byte("half")); s.Cancel(77) },
		"waiting": func(ctx context.Context, _ string, s Stream) { <-ctx.Done() },
	}
	for method, f := range cases {
		a.HandleStream(method, f)
		b.HandleStream(method, f)
	}
	for _, to := range []string{"a", "b"} {
		t.Run("to "+to, func(t *testing.T) {
			is := is.New(t)
			body := bytes.Repeat([]byte("0123456789"), 300_000)
			s, err := a.OpenStream(timeoutContext(t, 20*time.Second), to, "copy")
			is.NoErr(err)
			go func() { _, _ = s.Write(body); _ = s.CloseWrite() }()
			got, err := io.ReadAll(s)
			is.NoErr(err)
			is.True(bytes.Equal(got, body))
			for method, code := range map[string]uint64{"half": CodeAbandoned, "cancel": 77, "no such method": CodeRefused} {
				s, err := a.OpenStream(timeoutContext(t, 20*time.Second), to, method)
				is.NoErr(err)
				_, err = io.ReadAll(s)
				var reset *ResetError
				is.True(errors.As(err, &reset))
				is.Equal(*reset, ResetError{code, true})
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s, err = a.OpenStream(ctx, to, "waiting")
			is.NoErr(err)
			time.AfterFunc(20*time.Millisecond, cancel)
			_, err = io.ReadAll(s)
			is.True(err != nil)
		})
	}
}

func TestContextOutlivesCloseWrite(t *testing.T) {
	// Guards against a handler's context that ends when the handler finishes its answer before it has read the whole
	// request.
	is := is.New(t)
	a, b := connectedPair(t)
	result := make(chan error, 1)
	b.HandleStream("early", func(ctx context.Context, _ string, s Stream) {
		_ = s.CloseWrite()
		_, _ = io.Copy(io.Discard, s)
		result <- ctx.Err()
	})
	s, err := a.OpenStream(timeoutContext(t, 10*time.Second), "b", "early")
	is.NoErr(err)
	_, err = io.ReadAll(s)
	is.NoErr(err)
	_, err = s.Write([]byte("more"))
	is.NoErr(err)
	is.NoErr(s.CloseWrite())
	is.NoErr(<-result)
}

func TestCloseDeliversAnswers(t *testing.T) {
	// Guards against a Close that loses answers in flight, so that callers get ErrNoAnswer for calls that succeeded.
	is := is.New(t)
	a, b := connectedPair(t)
	running, release := make(chan struct{}), make(chan struct{})
	b.HandleCall("slow", func(ctx context.Context, from string, req []byte) (proto.Message, error) {
		close(running)
		<-release
		return &pb.ProposeAnswer{Index: 9}, nil
	})
	done := make(chan error, 1)
	resp := &pb.ProposeAnswer{}
	go func() { done <- a.Call(context.Background(), "b", "slow", &pb.ProposeRequest{}, resp) }()
	<-running
	close(release)
	time.Sleep(time.Millisecond)
	is.NoErr(b.Close())
	is.NoErr(<-done)
	is.Equal(resp.Index, uint64(9))
	err := a.Call(timeoutContext(t, time.Second), "b", "slow", &pb.ProposeRequest{}, resp)
	is.True(errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoAnswer))
}

func TestPeerIdentity(t *testing.T) {
	// Guards against accepting a VM that is not listed, has a certificate of another authority or one of another VM.
	is := is.New(t)
	d, otherDeployment := newDeployment(t, "a", "b", "c"), newDeployment(t)
	a := d.start("a")
	connect := func(id, to string, store *credentials.Store) *Transport {
		config := Config{ID: id, Listen: "127.0.0.1:0", Peers: map[string]string{to: d.addrs["a"]}, Credentials: store, Logger: zerolog.Nop()}
		tr, err := New(config)
		is.NoErr(err)
		t.Cleanup(func() { _ = tr.Close() })
		return tr
	}
	listed := connect("b", "a", d.store("b"))
	unlisted := connect("x", "a", d.store("x"))
	foreignCA := connect("c", "a", otherDeployment.store("c"))
	wrongAddress := connect("b", "c", d.store("b"))
	waitReachable(t, listed, "a")
	time.Sleep(300 * time.Millisecond)
	is.True(!unlisted.Reachable("a"))
	is.True(!foreignCA.Reachable("a"))
	is.True(!wrongAddress.Reachable("c"))
	is.True(!a.Reachable("c"))
}

func TestCertificateExpiryWhileRunning(t *testing.T) {
	// Guards against a certificate that expires in a running VM and is not named in the logs of both sides.
	is := is.New(t)
	d := newDeployment(t, "a", "b")
	logs := map[string]*lockedBuffer{"a": {}, "b": {}}
	// Certificates have whole seconds, so this one is valid for 4 to 5 s: long enough for credentials.Open.
	const shortValidity = 5 * time.Second
	for id, validity := range map[string]time.Duration{"a": shortValidity, "b": time.Hour} {
		store := d.storeFor(id, validity)
		if id == "a" {
			time.Sleep(time.Until(store.Expiry().Add(time.Second)))
		}
		tr, err := New(Config{ID: id, Listen: d.addrs[id], Peers: d.addrs, Credentials: store, Logger: zerolog.New(logs[id])})
		is.NoErr(err)
		defer tr.Close()
	}
	for _, c := range []struct{ vm, want string }{{"a", "a.pem (a) expired on "}, {"b", "certificate of the other side (a) expired on "}} {
		deadline := time.Now().Add(10 * time.Second)
		for !logs[c.vm].contains(c.want) {
			is.True(time.Now().Before(deadline)) // the log names the expired certificate
			time.Sleep(10 * time.Millisecond)
		}
		is.True(logs[c.vm].contains("lentilyard keys renew"))
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) contains(s string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.Bytes(), []byte(s))
}
