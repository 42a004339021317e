package emulator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/netfault"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/platform"
)

// Guards against a worker that reports that it has left while its tasks still run: the system may start them elsewhere at
// once.
func TestWorkerEndsItsTasksBeforeItLeaves(t *testing.T) {
	is := is.New(t)
	h := &host{client: &platform.APIClient{Client: http.DefaultClient}, server: &http.Server{}, controlLink: netfault.NewLink()}
	running := make(chan bool, 1)
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			running <- h.currentIncarnation() != nil
		}
	}))
	defer control.Close()
	proxy, err := netfault.NewProxy("127.0.0.1:0", control.Listener.Addr().String())
	is.NoErr(err)
	defer proxy.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h.deployment = &Deployment{options: Options{Size: Size{Controls: 1}}, vms: []*vm{{clientProxy: proxy}}, ctx: ctx}
	h.incarnation, h.cancel = newIncarnation(&incarnation{id: "w", checker: NewChecker()}), func() {}
	h.reportState = &pb.PoolReport{Worker: &pb.PoolWorker{Id: "w", BornUnixMs: 1}}
	h.drainAndStop()
	is.Equal(<-running, false)
}

// Guards against a control VM that loses its disk and bootstraps a group of its own, since its settings still say that the
// deployment starts for the first time.
func TestControlVMsStartForTheFirstTimeOnce(t *testing.T) {
	is := is.New(t)
	v := &vm{id: "127.0.0.1", role: "control", listenAddress: "127.0.0.1", folder: t.TempDir(), firstStart: true}
	v.settings = filepath.Join(v.folder, "settings.yaml")
	d := &Deployment{options: Options{Size: Size{Controls: 1}}, vms: []*vm{v}}
	firstStart := func() bool {
		text, err := os.ReadFile(v.settings)
		is.NoErr(err)
		return strings.Contains(string(text), "firstStart: true")
	}
	is.NoErr(v.writeSettings(d.seeds(-1)))
	is.True(firstStart())
	is.NoErr(d.endFirstStart())
	is.True(!firstStart())
}
