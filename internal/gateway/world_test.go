package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/routing"
	"github.com/lentilyard/lentilyard/internal/standin"
)

// faults are seeded errors that a checker must find.
type faults struct {
	announceTwice bool // P1: two entry VMs hold the lease of an executor
	cutAnswers    bool // P4
	claimNotSent  bool // P5: a request that was sent is reported as not sent
	forgetRecords bool // P6: an intent is committed although the key has a record
	hideDraining  bool // P7: an entry VM does not learn of a drain, and its lease is too long
	abruptStop    bool // P8
}

// world is several entry VMs in two domains, executors, and callers on an in-memory network.
type world struct {
	network   *network
	faults    faults
	vms       []*worldVM
	executors []*worldExecutor
	stop      chan struct{}
	running   sync.WaitGroup

	mu      sync.Mutex
	results []result
	sent    map[string]bool // keys that a caller has sent
}

type worldVM struct {
	id, domain, address string
	world               *world
	table               *routing.Table
	gateway             *Gateway
	records             *memoryRecords
	server              *http.Server
	down, recordsFail   atomic.Bool
	cancel              context.CancelFunc
	ctx                 context.Context
}

type worldExecutor struct {
	*standin.Executor
	address string
	cancel  context.CancelFunc
}

// result is what one caller saw.
type result struct {
	key, path         string
	pad               int
	idempotent        bool
	first             bool // the key was not sent before
	whole             bool
	status            int
	outcome, body     string
	err               error
	replayed          bool
	contentLengthSeen int64
}

func newWorld(executors int, f faults) *world {
	w := &world{network: newNetwork(), faults: f, stop: make(chan struct{})}
	shared := map[string]*memoryRecords{"d1": newRecords(), "d2": newRecords()}
	for i, domain := range []string{"d1", "d1", "d2"} {
		vm := &worldVM{id: fmt.Sprintf("vm%d", i+1), domain: domain, address: fmt.Sprintf("10.0.0.%d:80", i+1), world: w}
		vm.records = shared[domain]
		w.vms = append(w.vms, vm)
	}
	for _, vm := range w.vms {
		vm.start()
	}
	for i := range executors {
		w.startExecutor(i)
	}
	w.background(w.exchangeLoad)
	time.Sleep(100 * time.Millisecond)
	return w
}

func (w *world) background(f func()) {
	w.running.Add(1)
	go func() { defer w.running.Done(); f() }()
}

func (vm *worldVM) start() {
	w := vm.world
	vm.ctx, vm.cancel = context.WithCancel(context.Background())
	siblings := func() []string {
		var list []string
		for _, other := range w.vms {
			if other.domain == vm.domain {
				list = append(list, other.address)
			}
		}
		return list
	}
	lease := routing.DefaultLease
	if w.faults.hideDraining {
		lease *= 3
	}
	vm.table = routing.NewTable(routing.Config{VM: vm.id, Domain: vm.domain, Seed: 1, Siblings: siblings, Lease: lease,
		SiblingAddress: w.addressOf, Dial: w.network.dialFrom(vm.address)})
	vm.gateway = New(Config{VM: vm.id, Instance: "i", Domain: vm.domain, Domains: []string{"d1", "d2"}, Table: vm.table,
		Forwarder: vm, Records: vm, Contracts: anyContract{}, PeersOf: vm.peersOf})
	var handler http.Handler = &entryVM{gateway: vm.gateway, table: vm.table}
	if w.faults.cutAnswers {
		handler = cutHandler{handler}
	}
	vm.server = &http.Server{Handler: handler}
	listener := w.network.listen(vm.address)
	w.background(func() { _ = vm.server.Serve(listener) })
}

func (w *world) addressOf(id string) string {
	for _, vm := range w.vms {
		if vm.id == id {
			return vm.address
		}
	}
	return ""
}

func (vm *worldVM) peersOf(domain string) []string {
	var list []string
	for _, other := range vm.world.vms {
		if other.domain == domain && other != vm {
			list = append(list, other.id)
		}
	}
	return list
}

// Begin and Finish implement Records with the commit delay of a quorum.
func (vm *worldVM) Begin(ctx context.Context, r *pb.RequestRecord) (*pb.RequestRecord, bool, error) {
	time.Sleep(3 * time.Millisecond)
	old, created, err := vm.records.Begin(ctx, r)
	if vm.recordsFail.Load() {
		// The intent is committed, but this call does not learn of it.
		return nil, false, fmt.Errorf("no answer from the leader")
	}
	if !created && vm.world.faults.forgetRecords {
		return r, true, nil
	}
	return old, created, err
}

func (vm *worldVM) Finish(ctx context.Context, o *pb.CommitOutcome) error {
	time.Sleep(3 * time.Millisecond)
	if vm.recordsFail.Load() {
		return fmt.Errorf("no quorum")
	}
	return vm.records.Finish(ctx, o)
}

// Forward implements Forwarder by a direct call.
func (vm *worldVM) Forward(ctx context.Context, id string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error) {
	var target *worldVM
	for _, other := range vm.world.vms {
		if other.id == id {
			target = other
		}
	}
	if target.down.Load() || vm.world.network.isSilent(vm.address, target.address) {
		return nil, nil, ErrNotSent
	}
	time.Sleep(wireDelay)
	answer, stream, err := target.serve(ctx, vm.id, proto.CloneOf(head), body)
	unknown := err != nil || answer.GetError().GetOutcome() == "unknown"
	if unknown && vm.world.faults.claimNotSent {
		return nil, nil, ErrNotSent
	}
	return answer, stream, err
}

func (vm *worldVM) serve(ctx context.Context, from string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(vm.ctx, cancel)
	reader, writer := io.Pipe()
	heads := make(chan *pb.AnswerHead, 1)
	failed := make(chan error, 1)
	vm.world.background(func() {
		defer cancel()
		err := vm.gateway.ServeForwarded(ctx, from, head, body, func(h *pb.AnswerHead) (io.Writer, error) {
			heads <- h
			return writer, nil
		})
		failed <- err
		if err == nil {
			err = io.EOF
		}
		writer.CloseWithError(err)
	})
	select {
	case h := <-heads:
		return h, reader, nil
	case <-failed:
	case <-ctx.Done():
	}
	select {
	case h := <-heads:
		return h, reader, nil
	default:
		// The stream is reset: what is written to it later fails.
		_ = reader.CloseWithError(ErrNoAnswer)
		return nil, nil, ErrNoAnswer
	}
}

func (w *world) startExecutor(i int) {
	address := fmt.Sprintf("10.0.1.%d:80", i+1)
	domain, vms := "d1", []string{w.vms[0].address, w.vms[1].address}
	if i%4 == 3 {
		domain, vms = "d2", []string{w.vms[2].address}
	}
	transport := &http.Transport{DialContext: w.network.dialFrom(address), DisableKeepAlives: true}
	e := standin.NewExecutor(standin.ExecutorOptions{ID: fmt.Sprintf("e%d", i+1), Domain: domain, Service: "orders", EntryVMs: vms,
		Work: 20 * time.Millisecond, Slots: 3, Connections: 8, Client: &http.Client{Transport: &tamper{transport, w.faults}},
		DrainTimeout: 5 * time.Second})
	e.Serve(w.network.listen(address))
	ctx, cancel := context.WithCancel(context.Background())
	executor := &worldExecutor{Executor: e, address: address, cancel: cancel}
	w.executors = append(w.executors, executor)
	if w.faults.announceTwice {
		w.background(func() { w.announceTwice(executor) })
		return
	}
	w.background(func() { _ = e.Run(ctx) })
}

// exchangeLoad passes load reports between the entry VMs as internal/peer does.
func (w *world) exchangeLoad() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, from := range w.vms {
			if from.down.Load() {
				continue
			}
			report := from.table.Load()
			for _, to := range w.vms {
				if to != from && !w.network.isSilent(from.address, to.address) {
					to.table.ObservePeer(report)
				}
			}
		}
	}
}

// call sends one request as a caller does and records what came back.
func (w *world) call(vm *worldVM, r result, deadline time.Duration) {
	method := http.MethodPost
	if r.idempotent {
		method = http.MethodPut
	}
	client := &http.Client{Transport: &http.Transport{DialContext: w.network.dialFrom("caller"), DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+vm.address+"/v1/services/orders"+r.path, strings.NewReader("body of "+r.path))
	req.Header.Set("Idempotency-Key", r.key)
	if r.first {
		req.Header.Set("Lentilyard-Attempt", "1")
	}
	req.Header.Set("Lentilyard-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err == nil {
		r.status, r.outcome = resp.StatusCode, resp.Header.Get("Lentilyard-Outcome")
		r.replayed = resp.Header.Get("Lentilyard-Replayed") != ""
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		r.body, r.contentLengthSeen = string(data), resp.ContentLength
	}
	r.err = err
	r.whole = err == nil && r.status == http.StatusOK
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, r)
}

// balancerDelay is the time after which the balancer sends nothing more to an entry VM that drains.
const balancerDelay = time.Second

// balance returns the VM, or another one if it has been draining for long.
func (w *world) balance(vm *worldVM) *worldVM {
	for _, candidate := range append([]*worldVM{vm}, w.vms...) {
		if !candidate.down.Load() {
			return candidate
		}
	}
	return vm
}

// stopVM stops an entry VM gracefully, or at once if the fault asks for it.
func (w *world) stopVM(vm *worldVM) {
	if w.faults.abruptStop {
		w.crashVM(vm)
		return
	}
	vm.table.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_ = vm.table.Wait(ctx)
	vm.down.Store(true)
	// net/http drops requests that it reads after the start of Shutdown without an answer. Until the
	// balancer has turned to other entry VMs, requests are refused as not run.
	time.Sleep(balancerDelay)
	_ = vm.server.Shutdown(ctx)
}

func (w *world) crashVM(vm *worldVM) {
	vm.down.Store(true)
	vm.cancel()
	_ = vm.server.Close()
	w.network.cut(vm.address)
}

// close ends everything, so that no goroutine is left.
func (w *world) close() {
	close(w.stop)
	for _, e := range w.executors {
		e.cancel()
		_ = e.Close()
	}
	for _, vm := range w.vms {
		vm.cancel()
		_ = vm.server.Close()
	}
	w.network.closeAll()
	w.running.Wait()
	time.Sleep(time.Minute)
}

// tamper hides on their way that an executor drains.
type tamper struct {
	next   http.RoundTripper
	faults faults
}

func (m *tamper) RoundTrip(req *http.Request) (*http.Response, error) {
	if !m.faults.hideDraining {
		return m.next.RoundTrip(req)
	}
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	a := &pb.Announcement{}
	if err := protojson.Unmarshal(data, a); err != nil {
		return nil, err
	}
	a.Draining = false
	if data, err = protojson.Marshal(a); err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(data))
	req.Body = io.NopCloser(strings.NewReader(string(data)))
	return m.next.RoundTrip(req)
}

// keepUsing sends requests to an executor as an entry VM does that never learns of its drain. Which executor the table
// chooses depends on the schedule; this does not.
func (w *world) keepUsing(vm *worldVM, e *worldExecutor) {
	const interval, requests = 400 * time.Millisecond, 10
	client := &http.Client{Transport: &http.Transport{DialContext: w.network.dialFrom(vm.address), DisableKeepAlives: true}}
	for range requests {
		time.Sleep(interval)
		w.background(func() {
			resp, err := client.Get("http://" + e.address + "/hidden")
			if err == nil {
				resp.Body.Close()
			}
		})
	}
}

// announceTwice keeps the lease of an executor at two entry VMs at once.
func (w *world) announceTwice(e *worldExecutor) {
	nonces := make([]string, 2)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		for i, vm := range w.vms[:2] {
			a := &pb.Announcement{Id: e.address, Instance: "i", Service: "orders", Address: e.Address(), Slots: 3, Connections: 8, Nonce: nonces[i]}
			if answer, err := vm.table.Announce(a); err == nil {
				nonces[i] = answer.Nonce
			}
		}
	}
}

// cutHandler passes half of each answer on as a whole one.
type cutHandler struct{ next http.Handler }

func (c cutHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	c.next.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	if recorder.Header().Get("Lentilyard-Target") != "" {
		body = body[:len(body)/2]
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(body)
}
