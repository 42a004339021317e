// Package api serves the HTTP API of an entry VM: tasks, release notes, targets, workers and status. It authenticates
// requests to services and passes them to the gateway.
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

// Identity identifies the holder of a bearer token.
type Identity struct {
	Name string
	// Member is empty for operators, who may act for every member.
	Member string
	Role   string
}

// Authenticator looks up the holder of a bearer token. It returns false if the token is unknown.
type Authenticator interface {
	Authenticate(token string) (Identity, bool)
}

// Cluster carries out API calls on the deployment. Its methods return errors of type *errs.Error.
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

	// Ready reports whether the load balancer should send traffic to this entry VM.
	Ready() bool
}

// Config holds the dependencies of the API.
type Config struct {
	Cluster Cluster
	Auth    Authenticator
	// Services handles requests below /v1/services/. Their context carries the identity, added with WithIdentity.
	Services     http.Handler
	WithIdentity func(ctx context.Context, identity Identity) context.Context
}

// API is the HTTP handler of the API.
type API struct {
	cluster Cluster
	auth    Authenticator
	config  Config
	mux     *http.ServeMux
}

// New returns an API with all routes registered.
func New(config Config) *API {
	a := &API{cluster: config.Cluster, auth: config.Auth, config: config, mux: http.NewServeMux()}
	a.addTaskRoutes()
	a.addNoteRoutes()
	a.addTargetRoutes()
	a.mux.Handle("/v1/services/", a.serviceHandler())
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	a.mux.HandleFunc("GET /readyz", a.handleReady)
	a.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errNoRoute.With("no resource at %s %s", r.Method, r.URL.Path))
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *API) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !a.cluster.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serviceHandler authenticates the caller and passes the request to Config.Services.
func (a *API) serviceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.authenticate(r, RoleCaller, RoleOperator)
		if err != nil {
			writeError(w, err)
			return
		}
		// No read deadline is set here: the gateway sets one from the deadline of the request.
		a.config.Services.ServeHTTP(w, r.WithContext(a.config.WithIdentity(r.Context(), identity)))
	})
}

// handler handles one API call. The message or the error that it returns is the answer.
type handler func(r *http.Request, identity Identity) (proto.Message, error)

// bodyReadTimeout limits the time to read a JSON body, so that a half-open connection does not block its handler
// forever.
const bodyReadTimeout = 10 * time.Second

// handle registers h for a pattern of http.ServeMux. Only tokens with one of the roles may call it.
func (a *API) handle(pattern string, h handler, roles ...string) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.authenticate(r, roles...)
		if err != nil {
			writeError(w, err)
			return
		}
		// A ResponseWriter without support for deadlines returns an error; the timeouts of the server apply then.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		answer, err := h(r, identity)
		if err != nil {
			writeError(w, err)
			return
		}
		writeMessage(w, answer)
	})
}
