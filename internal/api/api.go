// Package api serves the HTTP API of an entry VM: tasks, release notes,
// targets, workers and status. Requests to services go to the gateway.
package api

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Roles of bearer tokens.
const (
	RoleCaller   = "caller"
	RoleOperator = "operator"
	RoleTarget   = "target"
	RoleWorker   = "worker"
)

// Identity is the holder of a bearer token.
type Identity struct {
	Name string
	// Member is empty for operators, who act for every member.
	Member string
	Role   string
}

// Authenticator finds the holder of a bearer token.
type Authenticator interface {
	Authenticate(token string) (Identity, bool)
}

// Cluster is the deployment as seen from one entry VM. Its errors are *errs.Error.
type Cluster interface {
	SubmitTask(ctx context.Context, spec *pb.TaskSpec) (*pb.Task, error)
	Task(ctx context.Context, id string) (*pb.Task, error)
	Tasks(ctx context.Context, query *pb.TaskQuery) (*pb.TaskList, error)
	CancelTask(ctx context.Context, id, reason string) (*pb.Task, error)
	EvictTask(ctx context.Context, id, reason string) (*pb.Task, error)

	RegisterWorker(ctx context.Context, request *pb.RegisterWorkerRequest) (*pb.RegisterWorkerAnswer, error)
	Heartbeat(ctx context.Context, heartbeat *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error)
	Announce(announcement *pb.Announcement) (*pb.AnnouncementAnswer, error)

	CheckNote(ctx context.Context, note *pb.ReleaseNote) (*pb.NoteCheck, error)
	ApplyNote(ctx context.Context, note *pb.ReleaseNote) (*pb.AcceptedNote, error)
	NoteStatus(ctx context.Context, number uint64) (*pb.NoteStatus, error)
	Notes() *pb.NoteList
	Contracts() *pb.ContractList

	Targets(ctx context.Context) (*pb.TargetList, error)
	Drain(ctx context.Context, request *pb.DrainRequest) error
	Status(ctx context.Context) (*pb.StatusList, error)

	// Ready reports whether this entry VM should get traffic from the balancer.
	Ready() bool
}

// Config holds what the API needs from the rest of the process.
type Config struct {
	Cluster Cluster
	Auth    Authenticator
	// Services handles /v1/services/. The identity is added with WithIdentity.
	Services     http.Handler
	WithIdentity func(ctx context.Context, identity Identity) context.Context
}

// API is the HTTP handler of an entry VM.
type API struct {
	cluster Cluster
	auth    Authenticator
	config  Config
	mux     *http.ServeMux
}

// New returns the handler.
func New(config Config) *API {
	a := &API{cluster: config.Cluster, auth: config.Auth, config: config, mux: http.NewServeMux()}
	a.addTaskRoutes()
	a.addNoteRoutes()
	a.addTargetRoutes()
	a.mux.Handle("/v1/services/", a.services())
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	a.mux.HandleFunc("GET /readyz", a.ready)
	a.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errNoRoute.With("no resource at %s %s", r.Method, r.URL.Path))
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.cluster.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// services authenticates callers and hands the request to the gateway.
func (a *API) services() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.authenticate(r, RoleCaller, RoleOperator)
		if err != nil {
			writeError(w, err)
			return
		}
		// The gateway bounds reads by the deadline of the request.
		a.config.Services.ServeHTTP(w, r.WithContext(a.config.WithIdentity(r.Context(), identity)))
	})
}

// handler answers one request with a message or an error.
type handler func(r *http.Request, identity Identity) (proto.Message, error)

// bodyReadTimeout bounds the time for a JSON body, so that half-open clients release the connection.
const bodyReadTimeout = 10 * time.Second

// handle registers h for callers with one of the roles.
func (a *API) handle(pattern string, h handler, roles ...string) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.authenticate(r, roles...)
		if err != nil {
			writeError(w, err)
			return
		}
		// Not every ResponseWriter supports deadlines; the server's own timeouts then apply.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		r.Body = http.MaxBytesReader(w, r.Body, maxJSONBytes)
		answer, err := h(r, identity)
		if err != nil {
			writeError(w, err)
			return
		}
		writeMessage(w, answer)
	})
}
