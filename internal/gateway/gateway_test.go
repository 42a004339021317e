package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/routing"
	"github.com/lentilyard/lentilyard/internal/standin"
)

// memoryRecords implements Records in memory.
type memoryRecords struct {
	mu      sync.Mutex
	records map[string]*pb.RequestRecord
}

func newRecords() *memoryRecords { return &memoryRecords{records: make(map[string]*pb.RequestRecord)} }

func (m *memoryRecords) Begin(_ context.Context, r *pb.RequestRecord) (*pb.RequestRecord, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.records[r.Member+r.Key]; old != nil {
		return old, false, nil
	}
	m.records[r.Member+r.Key] = r
	return r, true, nil
}

func (m *memoryRecords) Finish(_ context.Context, o *pb.CommitOutcome) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.records[o.Member+o.Key]
	if old == nil {
		return fmt.Errorf("no intent for key %s", o.Key)
	}
	switch o.Result {
	case pb.CommitOutcome_RESULT_EXECUTED:
		m.records[o.Member+o.Key] = &pb.RequestRecord{Digest: old.Digest, Stage: pb.RequestRecord_STAGE_EXECUTED, Answer: o.Answer}
	case pb.CommitOutcome_RESULT_NOT_RUN:
		delete(m.records, o.Member+o.Key)
	default:
		m.records[o.Member+o.Key] = &pb.RequestRecord{Digest: old.Digest, Stage: pb.RequestRecord_STAGE_UNKNOWN}
	}
	return nil
}

// anyContract implements Contracts. It accepts every contract name; "urgent" stands for an urgent one.
type anyContract struct{}

func (anyContract) Lookup(member, contract, service string) (*pb.ResolvedContract, error) {
	written := &pb.Contract{Name: "c", Member: member, Terms: &pb.ServiceTerms{Service: service, Weight: 1, Urgent: contract == "urgent"}}
	return &pb.ResolvedContract{Written: written, Resolved: &pb.ResolvedLimits{}}, nil
}

// entryVM is one gateway with its HTTP server.
type entryVM struct {
	gateway *Gateway
	table   *routing.Table
	records *memoryRecords
	server  *httptest.Server
}

func newEntryVM(t testing.TB, change func(*Config)) *entryVM {
	v := &entryVM{records: newRecords()}
	v.table = routing.NewTable(routing.Config{VM: "vm1", Domain: "d1", Seed: 1})
	config := Config{VM: "vm1", Instance: "i1", Domain: "d1", Domains: []string{"d1"}, Table: v.table, Records: v.records, Contracts: anyContract{}}
	if change != nil {
		change(&config)
	}
	v.gateway = New(config)
	v.server = httptest.NewServer(v)
	t.Cleanup(v.server.Close)
	return v
}

// ServeHTTP serves announcements of executors and passes other requests to the gateway as an
// authenticated caller.
func (v *entryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/targets/announce" {
		v.gateway.ServeHTTP(w, r.WithContext(WithIdentity(r.Context(), Identity{Name: "n", Member: "hanbit", Role: RoleCaller})))
		return
	}
	data, _ := io.ReadAll(r.Body)
	a := &pb.Announcement{}
	if err := protojson.Unmarshal(data, a); err != nil {
		WriteError(w, errs.ErrInvalid.With("%w", err))
		return
	}
	answer, err := v.table.Announce(a)
	if err != nil {
		WriteError(w, err)
		return
	}
	body, _ := protojson.Marshal(answer)
	_, _ = w.Write(body)
}

// startExecutor starts a stand-in executor, waits until it is ready, and stops it when the test ends.
func startExecutor(t testing.TB, v *entryVM, o standin.ExecutorOptions) *standin.Executor {
	o.Service = "orders"
	o.EntryVMs = []string{v.server.URL}
	e := standin.NewExecutor(o)
	if err := e.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	t.Cleanup(func() { cancel(); _ = e.Close(); <-done })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, s := range v.table.Targets() {
			if s.Id == o.ID && s.State == "ready" {
				return e
			}
		}
	}
	t.Fatalf("executor %s is not ready after 5 s", o.ID)
	return nil
}

// newKey returns a UUIDv7 issued at the given time; n makes it unique.
func newKey(issued time.Time, n int) string {
	ms := issued.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, n&0xfff, n>>12&0xfff, n)
}

// do sends a request to the entry VM and returns the response and its body. header holds names and values
// in turn.
func do(t testing.TB, v *entryVM, method, path, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, v.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// Guards against requests that do not reach an executor, and responses without target and outcome headers.
func TestRequestReachesExecutor(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, nil)
	startExecutor(t, v, standin.ExecutorOptions{ID: "e1"})
	resp, body, err := do(t, v, "GET", "/v1/services/orders/kits/7?size=m", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(resp.Header.Get("Lentilyard-Target"), "e1")
	is.Equal(resp.Header.Get("Lentilyard-Outcome"), "executed")
	is.True(strings.Contains(body, "path=/kits/7?size=m"))
	resp, body, err = do(t, v, "PUT", "/v1/services/orders/x", strings.Repeat("a", 100000))
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(strings.Contains(body, "bytes=100000"))
}

// Guards against a second execution of a non-idempotent request with the same key, and replayed responses
// that are not marked as such.
func TestKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	v := newEntryVM(t, nil)
	e := startExecutor(t, v, standin.ExecutorOptions{ID: "e1"})
	key := newKey(time.Now(), 1)
	first, firstBody, err := do(t, v, "POST", "/v1/services/orders/buy", "one", "Idempotency-Key", key)
	is.NoErr(err)
	is.Equal(first.StatusCode, 200)
	second, secondBody, err := do(t, v, "POST", "/v1/services/orders/buy", "one", "Idempotency-Key", key)
	is.NoErr(err)
	is.Equal(secondBody, firstBody)
	is.Equal(second.Header.Get("Lentilyard-Replayed"), "true")
	is.Equal(e.Executions(key), 1)
	third, refusal, err := do(t, v, "POST", "/v1/services/orders/buy", "two", "Idempotency-Key", key)
	is.NoErr(err)
	is.Equal(third.StatusCode, 422)
	var body pb.Error
	is.NoErr(json.Unmarshal([]byte(refusal), &body))
	is.Equal(body.Code, "key-reused")
	missing, _, err := do(t, v, "POST", "/v1/services/orders/buy", "one")
	is.NoErr(err)
	is.Equal(missing.StatusCode, 400)
	is.Equal(missing.Header.Get("Lentilyard-Outcome"), "not-run")
}
