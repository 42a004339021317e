package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Mode is a way in which an executor fails.
type Mode int32

// Failure modes.
const (
	// ModeNormal answers after the work time.
	ModeNormal Mode = iota
	// ModeSlow takes ten times the work time, at least 100 ms.
	ModeSlow
	// ModeFailFast answers 500 at once.
	ModeFailFast
	// ModeCut ends the connection in the middle of the answer.
	ModeCut
	// ModeHang never answers and goes on even when the connection is closed.
	ModeHang
	// ModeReset ends the connection after the request was read, without an answer.
	ModeReset
)

const (
	slowFactor  = 10
	pieceBytes  = 8 << 10
	minSlowWork = 100 * time.Millisecond
	// withdrawal is the time within which a leaving executor must get no more requests.
	withdrawal = 2 * time.Second
)

// ServeHTTP answers a request.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	active := e.begin(r)
	ended := false
	// The count drops before the last byte of the answer is written: from that byte on the entry VM
	// may use the slot again.
	end := func() {
		if !ended {
			ended = true
			e.end(active)
		}
	}
	defer end()
	if e.options.Handler != nil {
		e.options.Handler.ServeHTTP(w, r)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.answer(w, r, size, end)
}

func (e *Executor) begin(r *http.Request) *activeRequest {
	active := &activeRequest{ctx: r.Context()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[active] = struct{}{}
	e.stats.Requests++
	e.stats.MaxConcurrent = max(e.stats.MaxConcurrent, len(e.active))
	if len(e.active) > int(e.options.Slots) {
		e.stats.SlotViolations++
	}
	if !e.stats.DrainBegan.IsZero() && time.Since(e.stats.DrainBegan) > withdrawal {
		e.stats.AfterDrain++
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		e.executions[key]++
	}
	return active
}

func (e *Executor) end(active *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, active)
	if active.ctx.Err() != nil {
		e.stats.Abandoned++
	}
}

func (e *Executor) answer(w http.ResponseWriter, r *http.Request, size int64, end func()) {
	work := time.Duration(e.work.Load())
	switch Mode(e.mode.Load()) {
	case ModeSlow:
		work = max(slowFactor*work, minSlowWork)
	case ModeFailFast:
		end()
		http.Error(w, "this executor fails every request", http.StatusInternalServerError)
		return
	case ModeCut:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "this answer is cut")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case ModeHang:
		<-e.stopped
		panic(http.ErrAbortHandler)
	case ModeReset:
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, work) {
		panic(http.ErrAbortHandler)
	}
	head := fmt.Sprintf("executor=%s method=%s path=%s bytes=%d request=%s\n", e.options.ID, r.Method, r.URL.RequestURI(), size,
		r.Header.Get("Lentilyard-Request-Id"))
	writeAnswer(w, head, padding(r), end)
}

// padding returns the number of bytes that the query parameter "pad" asks for.
func padding(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("pad"))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// writeAnswer writes head and pad bytes. It calls end before the last piece.
func writeAnswer(w http.ResponseWriter, head string, pad int, end func()) {
	piece := []byte(head)
	for pad > 0 {
		if _, err := w.Write(piece); err != nil {
			return
		}
		n := min(pad, pieceBytes)
		piece = bytes.Repeat([]byte{'.'}, n)
		pad -= n
	}
	end()
	// The sender may be gone; the work is done all the same.
	_, _ = w.Write(piece)
}

// sleep waits for d; false if the connection was closed before.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
