package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// roundTrip is the time of a round trip between two zones, 1.4 ms each way. TCP sends what it has to send again after a partition one
// segment at a time: the end of a channel follows the data a round trip later.
const roundTrip = 2800 * time.Microsecond

// heldLink is the path between one executor and one control VM while a partition lies between them. What is sent meanwhile, the end of
// a channel too, arrives in order once the partition is over.
type heldLink struct {
	addr string
	to   string
	mu   sync.Mutex
	open chan struct{} // closed while the path is whole
}

func (f *fleet) newHeldLink(to string) (*heldLink, error) {
	listener, err := net.Listen("tcp", f.ip(5, 1)+":0")
	if err != nil {
		return nil, err
	}
	h := &heldLink{addr: listener.Addr().String(), to: to, open: make(chan struct{})}
	close(h.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.carry(conn)
		}
	}()
	return h, nil
}

func (h *heldLink) cut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = make(chan struct{})
}

func (h *heldLink) heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.open)
}

func (h *heldLink) wait() {
	h.mu.Lock()
	open := h.open
	h.mu.Unlock()
	<-open
}

// carry passes the bytes of one channel on, each way.
func (h *heldLink) carry(conn net.Conn) {
	defer conn.Close()
	h.wait()
	up, err := net.DialTimeout("tcp", h.to, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.copy(conn, up)
	}()
	h.copy(up, conn)
	time.Sleep(roundTrip)
	if tcp, ok := up.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	<-done
}

func (h *heldLink) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			h.wait()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			h.wait()
			return
		}
	}
}
