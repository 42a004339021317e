package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards channels to an address. What is sent in a direction that is cut is held back until the cut is over, as TCP would send it again.
type proxy struct {
	listener net.Listener
	target   string

	mu           sync.Mutex
	cutTo, cutBy bool // nothing is passed on to the target; nothing from it
	closed       bool
}

// newProxy starts a proxy on a free port of an address.
func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut sets which directions are cut.
func (p *proxy) cut(to, by bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutTo, p.cutBy = to, by
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
}

// await waits until a direction is not cut. It returns false if the proxy is closed first.
func (p *proxy) await(to bool) bool {
	for {
		p.mu.Lock()
		cut, closed := p.cutTo && to || p.cutBy && !to, p.closed
		p.mu.Unlock()
		if closed || !cut {
			return !closed
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	if !p.await(true) {
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	done := make(chan struct{}, 2)
	go func() { p.copy(target, client, true); done <- struct{}{} }()
	go func() { p.copy(client, target, false); done <- struct{}{} }()
	<-done
	<-done
}

// copy passes on one direction, its end included.
func (p *proxy) copy(to, from net.Conn, toTarget bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.await(toTarget) {
			break
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
}
