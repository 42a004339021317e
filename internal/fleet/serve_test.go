package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Guards against a connection that breaks without an answer because a VM stops while the request waits for a leader. Seen by
// the soak (seed 43: a stop of an intake VM soon after all control VMs were killed).
func TestWaitingRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	server, err := Listen("test", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	}), zerolog.Nop())
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
