package systemtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/domain"
)

// Guards against a key that stays used after its request was refused as not run.
func TestKeyOfARequestThatWasNotRunCanBeUsedAgain(t *testing.T) {
	is := is.New(t)
	d := threeDomains(t)
	d.start()
	d.applyNote(d.vms[0], note(1, serviceContract()))
	d.waitNoteEverywhere(1, time.Second)
	key := domain.NewKey(time.Now())
	refused := request(d.vms[0], http.MethodPost, "/orders", key, []byte("felt"))
	is.Equal(refused.outcome, "not-run") // no executor
	for _, v := range d.vms {
		d.startExecutor("executor-"+v.domain, v.domain)
	}
	eventually(t, 10*time.Second, "the same key runs", func() bool {
		return request(d.vms[1], http.MethodPost, "/orders", key, []byte("felt")).status == http.StatusOK
	})
}
