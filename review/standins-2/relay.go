//go:build ignore

package main

import (
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// relay forwards connections to a target. Between SIGUSR1 and SIGUSR2 it forwards nothing and closes nothing: what is sent stays on its
// way, as behind a partition. The target runs on.
type relay struct {
	target string

	mu   sync.Mutex
	cond *sync.Cond
	held bool
}

func runRelay(address, target string) error {
	r := &relay{target: target}
	r.cond = sync.NewCond(&r.mu)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range signals {
			r.mu.Lock()
			r.held = s == syscall.SIGUSR1
			r.cond.Broadcast()
			r.mu.Unlock()
		}
	}()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.serve(conn)
	}
}

// pass waits until the relay forwards.
func (r *relay) pass() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.held {
		r.cond.Wait()
	}
}

func (r *relay) serve(conn net.Conn) {
	r.pass()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go r.copy(out, conn)
	r.copy(conn, out)
}

func (r *relay) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		r.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				break
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
