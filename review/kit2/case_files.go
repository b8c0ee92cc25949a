//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// runFiles has clients open a new connection for each request at a machine and leave it open for the
// machine to close. Once its descriptors are used up, the others are restarted in turn. The rule is broken
// if the process ends by itself and more than three requests on kept connections, which a sound worker
// runs, end without an answer.
//
// With TROUBLE=0 no machine is restarted.
func runFiles(w *world) (bool, error) {
	const (
		maxFiles = 4100
		perS     = 78
		length   = 80 * time.Second
		restart  = 52 * time.Second
		callers  = 24
		most     = 3
		slow     = "510e0001"
	)
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 3*maxFiles/2 {
		return false, fmt.Errorf("%w: the clients need %d descriptors", errSetup, 3*maxFiles/2)
	}
	t := tenant{name: "t0"}
	c := config{version: 3, tenants: []tenant{t}, shares: []split{{"llm", 1}}, services: []string{"llm"}, timeout: 12 * time.Second}
	if _, err := w.apply(c); err != nil {
		return false, err
	}
	for range 6 {
		k, err := w.startWorker("llm", "v1", 10, 30*time.Millisecond, "")
		if err != nil {
			return false, err
		}
		k.slowPart = slow
	}
	w.maxFiles = maxFiles
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	g := w.gateways[len(w.gateways)-1]

	var mu sync.Mutex
	var wg sync.WaitGroup
	answered, open, refused := 0, 0, 0
	began := time.Now()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	ended := ""
	unansweredIDs := map[string]bool{}
	for range callers { // they keep their connections
		wg.Add(1)
		go func() {
			defer wg.Done()
			var conn *keptConn
			for time.Since(began) < length {
				if conn == nil {
					var err error
					if conn, err = keep(g); err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
				}
				id, status, err := conn.ask(w, t, []string{slow + ":600", "91bd3f06:107"}, 10*time.Second)
				mu.Lock()
				switch {
				case err == nil && status == http.StatusOK:
					answered++
				case status == 0:
					unansweredIDs[id] = true
					w.record.linef("%s on a kept connection of %s: no answer, %v", id, g.name, err)
				}
				mu.Unlock()
				if err != nil {
					conn.Close()
					conn = nil
				} else if status != http.StatusOK {
					time.Sleep(500 * time.Millisecond)
				}
			}
		}()
	}
	next := time.Now()
	restarted := false
	for i := 0; time.Since(began) < length && ended == ""; i++ {
		next = next.Add(time.Second / perS)
		time.Sleep(time.Until(next))
		wg.Add(1)
		go func() {
			defer wg.Done()
			conn, err := keep(g)
			if err == nil {
				_, _, err = conn.ask(w, t, []string{"5c1e07a2:300", fmt.Sprintf("%08x:10", i)}, 2*time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				if conn != nil {
					conn.Close()
				}
				return
			}
			open++
			conns = append(conns, conn)
		}()
		if i%(5*perS) == 0 {
			mu.Lock()
			w.record.linef("%d connections were left open at %s, %d requests on new ones failed, %d answers on kept ones", open, g.name, refused, answered)
			mu.Unlock()
		}
		if trouble != "0" && !restarted && time.Since(began) > restart {
			restarted = true
			go func() {
				for range 2 {
					for _, other := range w.gateways[:len(w.gateways)-1] {
						if other.restart() != nil {
							return
						}
						time.Sleep(time.Second)
					}
				}
			}()
		}
		if ended = g.ended(); ended != "" {
			w.record.linef("%s has ended by itself: %s", g.name, ended)
		}
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	unanswered := 0
	for _, a := range w.arrivalsOf() {
		if unansweredIDs[a.attempt] {
			unanswered++
		}
	}
	w.record.linef("%s has ended: %t. %d requests on its kept connections reached workers and ended without an answer, %d are allowed; %d were answered",
		g.name, ended != "", unanswered, most, answered)
	for _, line := range w.logsOf(g, "process-failed") {
		w.record.linef("%s logs %s", g.name, line)
	}
	if answered == 0 {
		return false, fmt.Errorf("%w: nothing was answered", errSetup)
	}
	return ended != "" && unanswered > most, nil
}

// keptConn is a connection that a client keeps.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// keep opens a connection to a gateway.
func keep(g *gateway) (*keptConn, error) {
	c, err := net.DialTimeout("tcp4", g.ip+":8005", time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{c, bufio.NewReader(c)}, nil
}

// ask sends a request and reads its answer to the end. The status is 0 if no answer has begun.
func (c *keptConn) ask(w *world, t tenant, parts []string, left time.Duration) (id string, status int, err error) {
	id = w.newID("k")
	_ = c.SetDeadline(time.Now().Add(left))
	_, err = fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nModel: %s\r\nToken-Count: 700,60\r\nPrompt-Prefix: %s,%s\r\nContent-Length: 2\r\n\r\n{}",
		routePrefix, routeHost, id, t.key(), left.Milliseconds(), modelName, parts[0], parts[1])
	if err != nil {
		return id, 0, err
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return id, 0, err
	}
	defer res.Body.Close()
	buf := make([]byte, 4<<10)
	for err == nil {
		_, err = res.Body.Read(buf)
	}
	if err.Error() == "EOF" {
		err = nil
	}
	return id, res.StatusCode, err
}
