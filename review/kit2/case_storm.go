//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// linkMbps is the bandwidth of the link of a small machine.
	linkMbps = 10
	// applyTime is config_apply_ms of the deployments that have such machines.
	applyTime = 3 * time.Second
)

// throttle is a proxy to the store that carries linkMbps towards the gateway.
func throttle(target string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	link := &link{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go link.carry(c, target)
		}
	}()
	return l.Addr().String(), nil
}

// link is what all connections of a gateway share.
type link struct {
	mu   sync.Mutex
	free time.Time // when the link has carried what was sent so far
}

// carry passes bytes on in both directions until one side has ended.
func (l *link) carry(c net.Conn, target string) {
	defer c.Close()
	s, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer s.Close()
	// Small windows, as on the users' links: what a connection has in flight is bounded.
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	_ = s.(*net.TCPConn).SetReadBuffer(64 << 10)
	go func() {
		_, _ = io.Copy(s, c)
		s.Close()
	}()
	buf := make([]byte, 8<<10)
	for {
		n, err := s.Read(buf)
		if n > 0 {
			time.Sleep(l.take(n))
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// take returns how long it takes until the link has carried n more bytes.
func (l *link) take(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(8*n) / (linkMbps * 1e6) * float64(time.Second)))
	return l.free.Sub(now)
}

// runStorm writes configurations in quick succession to gateways whose links carry 10 Mbit/s. The
// last one moves a route. The rule is broken if a request that was sent later than config_apply_ms
// after the acknowledgement of that one runs at the old service.
func runStorm(w *world) (bool, error) {
	const (
		stormTime = 4 * time.Second
		stormGap  = 330 * time.Millisecond
		length    = 14 * time.Second
	)
	t := tenant{name: "t0"}
	c := config{version: 3, tenants: []tenant{t}, shares: []split{{"llm-a", 1}}, services: []string{"llm-a", "llm-b"}, timeout: 5 * time.Second, fillers: 2800, public: true}
	if _, err := w.apply(c); err != nil {
		return false, err
	}
	for _, service := range c.services {
		for range 2 {
			if _, err := w.startWorker(service, "v1", 3, 10*time.Millisecond, ""); err != nil {
				return false, err
			}
		}
	}
	direct := w.addr
	w.addr = "" // each gateway has a link of its own
	w.storeOf = func() (string, error) { return throttle(direct) }
	w.settings = map[string]string{"limits.link_mbps": "10.0", "bounds.config_apply_ms": "3000"}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)

	var moved time.Time
	var mu sync.Mutex
	var wg sync.WaitGroup
	stormDone := make(chan error, 1)
	began := time.Now()
	go func() {
		var err error
		for n := 0; err == nil && time.Since(began) < stormTime; n++ {
			if trouble == "0" {
				time.Sleep(stormTime - time.Since(began))
			}
			c.version += 3
			if last := time.Since(began) >= stormTime-stormGap; last || trouble == "0" {
				c.shares = []split{{"llm-b", 1}}
			}
			var at time.Time
			if at, err = w.apply(c); err == nil && c.shares[0].service == "llm-b" {
				mu.Lock()
				moved = at
				mu.Unlock()
				break
			}
			time.Sleep(stormGap)
		}
		stormDone <- err
	}()
	broken, late, sent := 0, time.Duration(0), 0
	for i := 0; time.Since(began) < length; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g := w.gateways[i%len(w.gateways)]
			a := w.send(g, ask{tenant: t, parts: []string{"5c1e07a2:600", fmt.Sprintf("%08x:107", i)}, left: 3 * time.Second, after: -1})
			mu.Lock()
			defer mu.Unlock()
			sent++
			since := time.Duration(0)
			if !moved.IsZero() {
				since = a.sentAt.Sub(moved)
			}
			w.record.linef("%s at %s, %.2f s after the route has moved: from %v, %s", a.id, g.name, since.Seconds(), keysOf(a.services), a)
			if since > applyTime && a.services["llm-a"] {
				broken++
				late = max(late, since)
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	if err := <-stormDone; err != nil {
		return false, err
	}
	for _, g := range w.gateways {
		for _, line := range w.logsOf(g, "config-in-force") {
			w.record.linef("%s logs %.160s", g.name, line)
		}
	}
	w.record.linef("%d of %d requests that were sent later than config_apply_ms (%s) after the acknowledgement ran at the old service, the last %.2f s after it", broken, sent, applyTime, late.Seconds())
	return broken > 0, nil
}
