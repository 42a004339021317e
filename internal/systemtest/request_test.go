package systemtest

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/idempotency"
)

// Guards against an idempotency key that cannot be reused after its request was refused as not run.
func TestKeyOfARequestThatWasNotRunCanBeUsedAgain(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, serviceContract()))
	d.waitNoteEverywhere(1, time.Second)
	key := idempotency.NewKey(time.Now())
	refused := requestAttempt(d.vms[0], http.MethodPost, "/orders", key, []byte("felt"), 1)
	is.Equal(refused.outcome, "not-run") // no executor
	for _, v := range d.vms {
		d.startExecutor("executor-"+v.domain, v.domain)
	}
	eventually(t, 10*time.Second, "the same key runs", func() bool {
		return request(d.vms[1], http.MethodPost, "/orders", key, []byte("felt")).status == http.StatusOK
	})
}

// Guards against a second run of a key that is resent in capital letters: both spellings must have the same owner (P6).
func TestKeyInCapitalLettersIsTheSameKey(t *testing.T) {
	is := is.New(t)
	d := newThreeVMDeployment(t)
	d.start()
	d.applyNote(d.vms[0], releaseNote(1, serviceContract()))
	d.waitNoteEverywhere(1, time.Second)
	for _, v := range d.vms {
		d.startExecutor("executor-"+v.domain, v.domain)
	}
	eventually(t, 5*time.Second, "a request through each entry VM", func() bool {
		for _, v := range d.vms {
			if request(v, http.MethodGet, "/", "", nil).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	for range 8 {
		key := idempotency.NewKey(time.Now())
		answered := func(v *vm, key string) (got answer) {
			eventually(t, 5*time.Second, "a request with key "+key, func() bool {
				got = request(v, http.MethodPost, "/orders", key, []byte("felt"))
				return got.status == http.StatusOK // entry VMs may still be connecting to each other
			})
			return got
		}
		first := answered(d.vms[0], key)
		repeat := answered(d.vms[1], strings.ToUpper(key))
		is.Equal(repeat.body, first.body)
	}
}
