package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/httplimit"
)

// Guards against a connection that is closed without an answer because a VM stops while a request waits for a leader, for
// instance when an intake VM stops soon after all control VMs were killed (soak, seed 43).
func TestWaitingRequestsAreAnsweredBeforeShutdown(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	server, err := Listen("test", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	}), httplimit.Limits{Bytes: 1 << 20, Connections: 1}, zerolog.Nop())
	is.NoErr(err)
	go func() { _ = server.Run() }()
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + server.listener.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-began
	server.Finish(2*time.Second, zerolog.Nop())
	is.Equal(<-status, http.StatusServiceUnavailable)
}
