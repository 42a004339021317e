package systemtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// callAPI makes an API call and returns the status and, for statuses of 400 and above, the typed error.
func callAPI(t *testing.T, v *vm, method, path, token, body string) (int, *pb.Error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+v.httpAddress+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := (&http.Client{Timeout: 15 * time.Second}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	refused := new(pb.Error)
	if resp.StatusCode >= 400 {
		if err := protojson.Unmarshal(content, refused); err != nil {
			t.Fatalf("%s %s: body of status %d is not a typed error: %q", method, path, resp.StatusCode, content)
		}
	}
	return resp.StatusCode, refused
}

// Guards against refusals of invalid input without a typed error, and against access to the work of other members.
func TestBadInputGetsTypedErrors(t *testing.T) {
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, serviceContract(), batchContract()))
	d.waitNoteEverywhere(1, time.Second)
	task := d.submit(d.vms[0], batchTask("mine", "", "a"))
	v := d.vms[0]
	cases := []struct {
		name, method, path, token, body string
		status                          int
		code                            string
	}{
		{"no token", "POST", "/v1/tasks", "", "{}", 401, "unauthenticated"},
		{"wrong token", "POST", "/v1/tasks", "guess", "{}", 401, "unauthenticated"},
		{"wrong role", "POST", "/v1/notes", callerToken, "{}", 403, "forbidden"},
		{"target token for a request", "GET", "/v1/services/kit-orders/x", targetToken, "", 403, "forbidden"},
		{"malformed JSON", "POST", "/v1/tasks", callerToken, "{", 400, "invalid"},
		{"unknown field", "POST", "/v1/tasks", callerToken, `{"name": "x", "colour": "red"}`, 400, "invalid"},
		{"oversize body", "POST", "/v1/notes", operatorToken, `{"author": "` + strings.Repeat("x", 5<<20) + `"}`, 413, "too-large"},
		{"other member's task", "GET", "/v1/tasks/" + task.Id, otherToken, "", 404, "not-found"},
		{"cancel of other member's task", "POST", "/v1/tasks/" + task.Id + "/cancel", otherToken, "", 404, "not-found"},
		{"task for another member", "POST", "/v1/tasks", otherToken, `{"member": "hanbit", "contract": "batch"}`, 403, "forbidden"},
		{"service without contract", "GET", "/v1/services/kit-orders/x", otherToken, "", 403, "forbidden"},
		{"no idempotency key", "POST", "/v1/services/kit-orders/x", callerToken, "felt", 400, "key-required"},
		{"no such resource", "GET", "/v1/nothing", operatorToken, "", 404, "no-route"},
		{"unknown domain", "POST", "/v1/targets/drain", operatorToken, `{"failureDomain": "z", "target": "x"}`, 404, "not-found"},
		{"announcement without id", "POST", "/v1/targets/announce", targetToken, `{"failureDomain": "a"}`, 400, ""},
		{"note with unknown unit", "POST", "/v1/notes", operatorToken,
			`{"number": "2", "add": [{"name": "n", "member": "hanbit", "limits": {"cores": "3 trug"}}]}`, 400, "unit-unknown"},
		{"note with a gap", "POST", "/v1/notes", operatorToken,
			`{"number": "9", "add": [{"name": "n", "member": "hanbit", "limits": {"cores": "3 core"}}]}`, 409, "note-gap"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, refused := callAPI(t, v, c.method, c.path, c.token, c.body)
			is.Equal(status, c.status)
			if c.code != "" {
				is.Equal(refused.Code, c.code)
			}
			is.True(refused.Remedy != "") // every refusal states a remedy
		})
	}
	is := is.New(t)
	ctx, cancel := testContext()
	defer cancel()
	list, err := d.operatorClient(v).Notes(ctx)
	is.NoErr(err)
	is.Equal(len(list.Notes), 1) // refused notes changed nothing
}

// Guards against clients that keep connections open with incomplete requests, and against their effect on other clients.
func TestHalfOpenClientsAreClosed(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, serviceContract()))
	d.waitNoteEverywhere(1, time.Second)
	d.startExecutor("executor-a", "a")
	v := d.vm("vm-a")
	eventually(t, 5*time.Second, "a request", func() bool {
		return request(v, http.MethodGet, "/", "", nil).status == http.StatusOK
	})
	key := idempotency.NewKey(time.Now())
	openings := []string{
		"GET /v1/ser",
		"POST /v1/tasks HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerToken + "\r\nContent-Length: 100\r\n\r\n{",
		"POST /v1/services/kit-orders/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerToken +
			"\r\nLentilyard-Deadline-Ms: 1000\r\nIdempotency-Key: " + key + "\r\nContent-Length: 100\r\n\r\nfe",
	}
	var conns []net.Conn
	for _, opening := range openings {
		for range 100 {
			conn, err := net.Dial("tcp", v.httpAddress)
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprint(conn, opening)
			is.NoErr(err)
			conns = append(conns, conn)
		}
	}
	is.Equal(request(v, http.MethodGet, "/", "", nil).status, http.StatusOK) // other clients are served
	closedBy := time.Now().Add(15 * time.Second)
	for _, conn := range conns {
		is.NoErr(conn.SetReadDeadline(closedBy))
		_, err := io.Copy(io.Discard, conn)
		is.NoErr(err) // the entry VM closed the connection in time
	}
	is.Equal(request(v, http.MethodGet, "/", "", nil).status, http.StatusOK)
}
