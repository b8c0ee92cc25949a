package processtest

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// crowd opens connections to an address and sends the same bytes on each of them, whatever the
// limits say. It reads nothing and keeps each connection until the other side closes it.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// crowdWriteTime is how long a member of a crowd goes on with its bytes while the other side does
// not read them.
const crowdWriteTime = 2 * time.Second

// startCrowd returns a crowd all of whose members have sent their bytes, as far as they were read.
func startCrowd(t *testing.T, address string, members int, sent []byte) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	var wg sync.WaitGroup
	for range members {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp4", address, waitTimeout)
			if err != nil {
				return // refused, which is allowed
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTime))
			_, _ = conn.Write(sent) // an error means that the connection was closed, which is allowed
		})
	}
	wg.Wait()
	return c
}

// close closes the connections.
func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// peakMemoryMiB returns the peak of the resident memory of a process.
func peakMemoryMiB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			assert.NilError(t, err)
			return kib >> 10
		}
	}
	t.Fatalf("no peak of memory in %s", status)
	return 0
}

// settledPeakMiB waits until the peak of the resident memory of a process has stayed the same for a
// second, because what was sent to it may lie in the buffers of sockets, and returns it.
func settledPeakMiB(t *testing.T, pid int) int {
	t.Helper()
	peak, same := peakMemoryMiB(t, pid), 0
	for same < 10 {
		time.Sleep(100 * time.Millisecond)
		now := peakMemoryMiB(t, pid)
		if same++; now != peak {
			peak, same = now, 0
		}
	}
	return peak
}

// openDescriptors returns the number of descriptors that a process has open.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	assert.NilError(t, err, "the process has ended")
	return len(list)
}

// checkServes sends ordinary requests, which must be answered.
func (g *gatewayProcess) checkServes(t *testing.T, when string) {
	t.Helper()
	status, events, err := g.ask("key")
	assert.NilError(t, err, when)
	assert.Equal(t, status, http.StatusOK, when)
	assert.Equal(t, events, eventsPerStream, when)
}

// checkLives fails if the gateway has ended.
func (g *gatewayProcess) checkLives(t *testing.T) {
	t.Helper()
	select {
	case err := <-g.exited:
		g.exited <- err
		t.Fatalf("the gateway has ended: %v\n%s", err, g.output.String())
	default:
	}
}

const (
	requestHead = "POST /x/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nModel: m\r\nToken-Count: 10,5\r\nAttempt-Id: a-1\r\n"
	readyHead   = "GET /redwingknot/ready HTTP/1.1\r\nHost: h\r\n"
)

// shortLines returns header lines of the given total size, as short as possible.
func shortLines(size int) string { return strings.Repeat("a:\r\n", size/len("a:\r\n")) }

// TestCallersOutsideLimitsStayWithinMemory guards against a process that takes more memory than its
// machine has because callers send heads over the limit, without end or without their bodies, or
// bytes without end where a request should begin. Afterwards an ordinary request is answered.
func TestCallersOutsideLimitsStayWithinMemory(t *testing.T) {
	const memoryMiB = 64
	many := func(s string, size int) string { return strings.Repeat(s, size/len(s)) }
	for _, c := range []struct {
		name    string
		members int
		toReady bool // sent to the port for readiness checks
		sent    string
	}{
		{"head of short lines without end", 150, false, requestHead + shortLines(60<<10)},
		{"head of short lines without its body", 150, false, requestHead + shortLines(60<<10) + "Content-Length: 10\r\n\r\n"},
		{"head of one value without end", 600, false, requestHead + "A: " + many("v", 60<<10)},
		{"head over the limit", 150, false, requestHead + shortLines(200<<10)},
		{"empty lines before a request", 150, false, many("\r\n", 1<<20)},
		{"bare line feeds before a request", 150, false, many("\n", 1<<20)},
		{"empty lines after a request", 150, false, requestHead + "Content-Length: 2\r\n\r\n{}" + many("\r\n", 1<<20)},
		{"request line without end", 150, false, "POST /x/" + many("x", 1<<20)},
		{"chunk extension without end", 150, false, requestHead + "Transfer-Encoding: chunked\r\n\r\n1;" + many("x", 1<<20)},
		{"trailer without end", 150, false, requestHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortLines(1<<20)},
		{"requests whose answers are not read", 150, false, many(requestHead+"Content-Length: 2\r\n\r\n{}", 1<<20)},
		{"readiness check with a head of short lines without end", 150, true, readyHead + shortLines(60<<10)},
		{"readiness check with a large head without end", 150, true, readyHead + "A: " + many("v", 900<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newGatewayDeployment(t)
			d.memoryMiB = memoryMiB
			g := d.startGateway("front-1")
			g.checkServes(t, "before")
			address := g.frontAddr
			if c.toReady {
				address = g.readyAddr
			}
			sent := startCrowd(t, address, c.members, []byte(c.sent))
			peak := settledPeakMiB(t, g.cmd.Process.Pid)
			t.Logf("peak of resident memory: %d MiB", peak)
			g.checkLives(t)
			assert.Check(t, peak <= memoryMiB, "%d MiB of %d MiB", peak, memoryMiB)
			sent.close()
			g.waitForStatus(t, http.StatusOK)
			g.checkLives(t)
		})
	}
}

// TestCallersThatKeepConnectionsOpenLeaveDescriptors guards against a process that ends, or serves
// nobody else, because callers hold as many connections as it may have descriptors.
func TestCallersThatKeepConnectionsOpenLeaveDescriptors(t *testing.T) {
	const (
		maxFDs  = 180
		members = 300
	)
	for _, c := range []struct {
		name, sent string
		toReady    bool // sent to the port for readiness checks
	}{
		{"nothing is sent", "", false},
		{"a part of a head", "POST /x/1 HTTP/1.1\r\nHost: h\r\n", false},
		{"a request, and nothing more", requestHead + "Content-Length: 2\r\n\r\n{}", false},
		{"a request without its body", requestHead + "Content-Length: 2\r\n\r\n", false},
		{"a request without a token and without its body", "POST /x/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n\r\n", false},
		{"a readiness check without its body", readyHead + "Content-Length: 2\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newGatewayDeployment(t)
			d.maxFDs = maxFDs
			g := d.startGateway("front-1")
			limit := unix.Rlimit{Cur: maxFDs, Max: maxFDs}
			assert.NilError(t, unix.Prlimit(g.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
			address := g.frontAddr
			if c.toReady {
				address = g.readyAddr
			}
			startCrowd(t, address, members, []byte(c.sent))
			// Another instance connects to this one.
			peer, err := net.DialTimeout("tcp4", g.peerAddr, waitTimeout)
			assert.NilError(t, err)
			defer peer.Close()
			time.Sleep(500 * time.Millisecond)
			g.checkLives(t)
			open := openDescriptors(t, g.cmd.Process.Pid)
			t.Logf("descriptors open: %d", open)
			assert.Check(t, open < maxFDs, "%d of %d", open, maxFDs)
			http.DefaultClient.CloseIdleConnections()
			g.checkServes(t, "beside the crowd")
			assert.Check(t, g.isReady(), "beside the crowd")
		})
	}
}

// TestRequestAtLimitsIsServed guards against limits that reject a single sound request: one whose
// head and body have the largest sizes that the configuration allows.
func TestRequestAtLimitsIsServed(t *testing.T) {
	const maxHeaderBytes, maxBodyBytes = 16384, 65536
	d := newGatewayDeployment(t)
	d.memoryMiB = 64
	g := d.startGateway("front-1")
	for _, filler := range []string{"short lines", "one value"} {
		conn, err := net.DialTimeout("tcp4", g.frontAddr, waitTimeout)
		assert.NilError(t, err)
		defer conn.Close()
		start := requestHead + "Connection: close\r\n" + fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)
		rest := maxHeaderBytes - len(start) - len("\r\n")
		lines := shortLines(rest)
		if filler == "one value" {
			lines = "A: " + strings.Repeat("v", rest-len("A: \r\n")) + "\r\n"
		}
		_, err = conn.Write(append([]byte(start+lines+"\r\n"), bytes.Repeat([]byte(" "), maxBodyBytes)...))
		assert.NilError(t, err)
		answer := make([]byte, len("HTTP/1.1 200 OK"))
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err = conn.Read(answer)
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "HTTP/1.1 200 OK", filler)
	}
}

// TestEntryCallersOutsideLimitsStayWithinMemory guards against an entry instance that takes more
// memory than its machine has because callers send heads of many lines without end, or without
// their bodies.
func TestEntryCallersOutsideLimitsStayWithinMemory(t *testing.T) {
	const (
		memoryMiB = 48
		members   = 150
	)
	for _, c := range []struct{ name, end string }{
		{"head of short lines without end", ""},
		{"head of short lines without its body", "Content-Length: 10\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newEntryDeployment(t)
			d.startEntry("e1", "ilala", "--memory-limit", fmt.Sprint(memoryMiB))
			d.waitForNote(d.submitNote("e1", d.startEndpointsWithNote("ilala")), "e1")
			d.waitUntilServing("e1")
			pid := d.processes["e1"].cmd.Process.Pid
			head := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + teamToken + "\r\n"
			sent := startCrowd(t, strings.TrimPrefix(d.urls["e1"], "http://"), members, []byte(head+shortLines(30<<10)+c.end))
			peak := settledPeakMiB(t, pid)
			t.Logf("peak of resident memory: %d MiB", peak)
			assert.Check(t, peak <= memoryMiB, "%d MiB of %d MiB", peak, memoryMiB)
			sent.close()
			d.waitUntilServing("e1")
		})
	}
}
