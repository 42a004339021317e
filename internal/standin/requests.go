package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Mode selects how an executor fails.
type Mode int32

// Failure modes.
const (
	// ModeNormal answers after the work time.
	ModeNormal Mode = iota
	// ModeSlow takes ten times the work time, at least 100 ms.
	ModeSlow
	// ModeFailFast answers with status 500 immediately.
	ModeFailFast
	// ModeCut closes the connection in the middle of the answer.
	ModeCut
	// ModeHang never answers, and keeps the request in progress even after its connection is closed.
	ModeHang
	// ModeReset closes the connection after the request was read, without an answer.
	ModeReset
)

const (
	slowFactor  = 10
	chunkBytes  = 8 << 10
	minSlowWork = 100 * time.Millisecond
	// drainDeadline is the time after the start of a drain from which an executor must get no more requests.
	drainDeadline = 2 * time.Second
)

// ServeHTTP counts a request and passes it to the handler or to the simulated work.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	active := e.beginRequest(r)
	ended := false
	// The request must stop counting before the last byte of the answer is written, because the entry VM
	// may reuse the slot once it has received that byte.
	end := func() {
		if !ended {
			ended = true
			e.endRequest(active)
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
	e.respond(w, r, size, end)
}

func (e *Executor) beginRequest(r *http.Request) *activeRequest {
	active := &activeRequest{ctx: r.Context()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[active] = struct{}{}
	e.stats.Requests++
	e.stats.MaxConcurrent = max(e.stats.MaxConcurrent, len(e.active))
	if len(e.active) > int(e.options.Slots) {
		e.stats.SlotViolations++
	}
	if !e.stats.DrainBegan.IsZero() && time.Since(e.stats.DrainBegan) > drainDeadline {
		e.stats.AfterDrain++
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		e.executions[key]++
	}
	return active
}

func (e *Executor) endRequest(active *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, active)
	if active.ctx.Err() != nil {
		e.stats.Abandoned++
	}
}

func (e *Executor) respond(w http.ResponseWriter, r *http.Request, size int64, end func()) {
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
	if !sleepForRequest(r, work) {
		panic(http.ErrAbortHandler)
	}
	head := fmt.Sprintf("executor=%s method=%s path=%s bytes=%d request=%s\n", e.options.ID, r.Method, r.URL.RequestURI(), size,
		r.Header.Get("Lentilyard-Request-Id"))
	writeResponse(w, head, paddingBytes(r), end)
}

// paddingBytes returns the value of the query parameter "pad", or 0 if it is not a positive number.
func paddingBytes(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("pad"))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// writeResponse writes head and pad further bytes. It calls end before it writes the last chunk.
func writeResponse(w http.ResponseWriter, head string, pad int, end func()) {
	chunk := []byte(head)
	for pad > 0 {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		n := min(pad, chunkBytes)
		chunk = bytes.Repeat([]byte{'.'}, n)
		pad -= n
	}
	end()
	// A write error is ignored: the sender may be gone, but the work is done.
	_, _ = w.Write(chunk)
}

// sleepForRequest waits for d. It returns false if the connection is closed first.
func sleepForRequest(r *http.Request, d time.Duration) bool {
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
