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

// faults are the faults that tests of the checks inject. Each must violate the guarantee named.
type faults struct {
	announceTwice     bool // P1: two entry VMs hold the lease of an executor
	truncateResponses bool // P4: truncated responses are passed on as complete
	claimNotSent      bool // P5: a request that was sent is reported as not sent
	forgetRecords     bool // P6: an intent is committed although the key has a record
	hideDraining      bool // P7: an entry VM does not learn of a drain, and its lease is too long
	abruptStop        bool // P8: an entry VM stops without draining
}

// testCluster consists of entry VMs in two failure domains, executors and callers on an in-memory network.
type testCluster struct {
	network   *network
	faults    faults
	vms       []*testVM
	executors []*testExecutor
	stop      chan struct{}
	running   sync.WaitGroup

	mu      sync.Mutex
	results []result
	sent    map[string]bool // keys that a caller has sent
}

type testVM struct {
	id, domain, address string
	cluster             *testCluster
	table               *routing.Table
	gateway             *Gateway
	records             *memoryRecords
	server              *http.Server
	down, recordsFail   atomic.Bool
	cancel              context.CancelFunc
	ctx                 context.Context
}

type testExecutor struct {
	*standin.Executor
	address string
	cancel  context.CancelFunc
}

// result is a request and what its caller saw of it.
type result struct {
	key, path         string
	pad               int // the size of the padding requested in the response
	idempotent        bool
	firstAttempt      bool // the key was not sent before
	complete          bool // a response with status 200 arrived completely
	status            int
	outcome, body     string
	err               error
	replayed          bool
	contentLengthSeen int64
}

func newTestCluster(executors int, f faults) *testCluster {
	c := &testCluster{network: newNetwork(), faults: f, stop: make(chan struct{})}
	shared := map[string]*memoryRecords{"d1": newRecords(), "d2": newRecords()}
	for i, domain := range []string{"d1", "d1", "d2"} {
		vm := &testVM{id: fmt.Sprintf("vm%d", i+1), domain: domain, address: fmt.Sprintf("10.0.0.%d:80", i+1), cluster: c}
		vm.records = shared[domain]
		c.vms = append(c.vms, vm)
	}
	for _, vm := range c.vms {
		vm.start()
	}
	for i := range executors {
		c.startExecutor(i)
	}
	c.background(c.exchangeLoad)
	time.Sleep(100 * time.Millisecond)
	return c
}

func (c *testCluster) background(f func()) {
	c.running.Add(1)
	go func() { defer c.running.Done(); f() }()
}

func (vm *testVM) start() {
	c := vm.cluster
	vm.ctx, vm.cancel = context.WithCancel(context.Background())
	siblings := func() []string {
		var list []string
		for _, other := range c.vms {
			if other.domain == vm.domain {
				list = append(list, other.address)
			}
		}
		return list
	}
	lease := routing.DefaultLease
	if c.faults.hideDraining {
		lease *= 3
	}
	vm.table = routing.NewTable(routing.Config{VM: vm.id, Domain: vm.domain, Seed: 1, Siblings: siblings, Lease: lease,
		SiblingAddress: c.addressOf, Dial: c.network.dialFrom(vm.address)})
	vm.gateway = New(Config{VM: vm.id, Instance: "i", Domain: vm.domain, Domains: []string{"d1", "d2"}, Table: vm.table,
		Forwarder: vm, Records: vm, Contracts: anyContract{}, PeersOf: vm.peersOf})
	var handler http.Handler = &entryVM{gateway: vm.gateway, table: vm.table}
	if c.faults.truncateResponses {
		handler = truncatingHandler{handler}
	}
	vm.server = &http.Server{Handler: handler}
	listener := c.network.listen(vm.address)
	c.background(func() { _ = vm.server.Serve(listener) })
}

func (c *testCluster) addressOf(id string) string {
	for _, vm := range c.vms {
		if vm.id == id {
			return vm.address
		}
	}
	return ""
}

func (vm *testVM) peersOf(domain string) []string {
	var list []string
	for _, other := range vm.cluster.vms {
		if other.domain == domain && other != vm {
			list = append(list, other.id)
		}
	}
	return list
}

// Begin implements Records. It takes as long as a commit by a quorum, like Finish.
func (vm *testVM) Begin(ctx context.Context, r *pb.RequestRecord) (*pb.RequestRecord, bool, error) {
	time.Sleep(3 * time.Millisecond)
	old, created, err := vm.records.Begin(ctx, r)
	if vm.recordsFail.Load() {
		// The intent was committed, but the confirmation is lost.
		return nil, false, fmt.Errorf("no answer from the leader")
	}
	if !created && vm.cluster.faults.forgetRecords {
		return r, true, nil
	}
	return old, created, err
}

// Finish implements Records.
func (vm *testVM) Finish(ctx context.Context, o *pb.CommitOutcome) error {
	time.Sleep(3 * time.Millisecond)
	if vm.recordsFail.Load() {
		return fmt.Errorf("no quorum")
	}
	return vm.records.Finish(ctx, o)
}

// Forward implements Forwarder by a direct call of the other gateway.
func (vm *testVM) Forward(ctx context.Context, id string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error) {
	var target *testVM
	for _, other := range vm.cluster.vms {
		if other.id == id {
			target = other
		}
	}
	if target.down.Load() || vm.cluster.network.isSilent(vm.address, target.address) {
		return nil, nil, ErrNotSent
	}
	time.Sleep(wireDelay)
	answer, stream, err := target.serve(ctx, vm.id, proto.CloneOf(head), body)
	unknown := err != nil || answer.GetError().GetOutcome() == "unknown"
	if unknown && vm.cluster.faults.claimNotSent {
		return nil, nil, ErrNotSent
	}
	return answer, stream, err
}

// serve serves a forwarded request and returns the response as a Forwarder does.
func (vm *testVM) serve(ctx context.Context, from string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(vm.ctx, cancel)
	reader, writer := io.Pipe()
	heads := make(chan *pb.AnswerHead, 1)
	failed := make(chan error, 1)
	vm.cluster.background(func() {
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
		// Reset the stream, so that later writes to it fail.
		_ = reader.CloseWithError(ErrNoAnswer)
		return nil, nil, ErrNoAnswer
	}
}

func (c *testCluster) startExecutor(i int) {
	address := fmt.Sprintf("10.0.1.%d:80", i+1)
	domain, vms := "d1", []string{c.vms[0].address, c.vms[1].address}
	if i%4 == 3 {
		domain, vms = "d2", []string{c.vms[2].address}
	}
	transport := &http.Transport{DialContext: c.network.dialFrom(address), DisableKeepAlives: true}
	e := standin.NewExecutor(standin.ExecutorOptions{ID: fmt.Sprintf("e%d", i+1), Domain: domain, Service: "orders", EntryVMs: vms,
		Work: 20 * time.Millisecond, Slots: 3, Connections: 8, Client: &http.Client{Transport: &drainHider{transport, c.faults}},
		DrainTimeout: 5 * time.Second})
	e.Serve(c.network.listen(address))
	ctx, cancel := context.WithCancel(context.Background())
	executor := &testExecutor{Executor: e, address: address, cancel: cancel}
	c.executors = append(c.executors, executor)
	if c.faults.announceTwice {
		c.background(func() { c.announceTwice(executor) })
		return
	}
	c.background(func() { _ = e.Run(ctx) })
}

// exchangeLoad passes load reports between the entry VMs as internal/peer does.
func (c *testCluster) exchangeLoad() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, from := range c.vms {
			if from.down.Load() {
				continue
			}
			report := from.table.Load()
			for _, to := range c.vms {
				if to != from && !c.network.isSilent(from.address, to.address) {
					to.table.ObservePeer(report)
				}
			}
		}
	}
}

// call sends a request as a caller does and records the result.
func (c *testCluster) call(vm *testVM, r result, deadline time.Duration) {
	method := http.MethodPost
	if r.idempotent {
		method = http.MethodPut
	}
	client := &http.Client{Transport: &http.Transport{DialContext: c.network.dialFrom("caller"), DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+vm.address+"/v1/services/orders"+r.path, strings.NewReader("body of "+r.path))
	req.Header.Set("Idempotency-Key", r.key)
	if r.firstAttempt {
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
	r.complete = err == nil && r.status == http.StatusOK
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// balancerDelay is the time after which the load balancer sends no more requests to an entry VM that has
// finished draining.
const balancerDelay = time.Second

// pickVM returns vm, or the first entry VM that is up if vm is down.
func (c *testCluster) pickVM(vm *testVM) *testVM {
	for _, candidate := range append([]*testVM{vm}, c.vms...) {
		if !candidate.down.Load() {
			return candidate
		}
	}
	return vm
}

// stopVM stops an entry VM gracefully, or abruptly if that fault is injected.
func (c *testCluster) stopVM(vm *testVM) {
	if c.faults.abruptStop {
		c.crashVM(vm)
		return
	}
	vm.table.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_ = vm.table.Wait(ctx)
	vm.down.Store(true)
	// net/http gives no response to requests that it reads after the start of Shutdown. Therefore the server
	// goes on refusing requests as not run until the load balancer uses other entry VMs only.
	time.Sleep(balancerDelay)
	_ = vm.server.Shutdown(ctx)
}

func (c *testCluster) crashVM(vm *testVM) {
	vm.down.Store(true)
	vm.cancel()
	_ = vm.server.Close()
	c.network.closeConns(vm.address)
}

// close stops all entry VMs and executors and waits, so that no goroutine is left.
func (c *testCluster) close() {
	close(c.stop)
	for _, e := range c.executors {
		e.cancel()
		_ = e.Close()
	}
	for _, vm := range c.vms {
		vm.cancel()
		_ = vm.server.Close()
	}
	c.network.closeAll()
	c.running.Wait()
	time.Sleep(time.Minute)
}

// drainHider clears the draining flag in announcements if the fault hideDraining is injected.
type drainHider struct {
	next   http.RoundTripper
	faults faults
}

func (m *drainHider) RoundTrip(req *http.Request) (*http.Response, error) {
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

// sendDirectly sends requests directly to an executor, like an entry VM that does not learn that the executor
// drains. The routing table is bypassed because its choice of an executor depends on goroutine scheduling.
func (c *testCluster) sendDirectly(vm *testVM, e *testExecutor) {
	const interval, requests = 400 * time.Millisecond, 10
	client := &http.Client{Transport: &http.Transport{DialContext: c.network.dialFrom(vm.address), DisableKeepAlives: true}}
	for range requests {
		time.Sleep(interval)
		c.background(func() {
			resp, err := client.Get("http://" + e.address + "/hidden")
			if err == nil {
				resp.Body.Close()
			}
		})
	}
}

// announceTwice keeps the lease of an executor at two entry VMs at once.
func (c *testCluster) announceTwice(e *testExecutor) {
	nonces := make([]string, 2)
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		for i, vm := range c.vms[:2] {
			a := &pb.Announcement{Id: e.address, Instance: "i", Service: "orders", Address: e.Address(), Slots: 3, Connections: 8, Nonce: nonces[i]}
			if answer, err := vm.table.Announce(a); err == nil {
				nonces[i] = answer.Nonce
			}
		}
	}
}

// truncatingHandler sends half of the body of each executor response as a complete response.
type truncatingHandler struct{ next http.Handler }

func (h truncatingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	h.next.ServeHTTP(recorder, r)
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
