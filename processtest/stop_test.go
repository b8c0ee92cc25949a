package processtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetstore"
)

// callerConn is a caller's connection to a gateway.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func connect(g *gatewayProcess) (*callerConn, error) {
	c, err := net.DialTimeout("tcp4", g.frontAddr, time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{c, bufio.NewReader(c)}, nil
}

// ask sends a request and reads the response. closes says that the gateway asks to close the
// connection.
func (c *callerConn) ask(token string) (status int, body string, closes bool, err error) {
	_, err = fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a%d\r\nAuthorization: Bearer %s\r\nModel: m\r\nToken-Count: 10,5\r\nContent-Length: 2\r\n\r\n{}", time.Now().UnixNano(), token)
	if err != nil {
		return 0, "", true, err
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true, err
	}
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), res.Close, err
}

// stopLoad sends requests from many callers until the gateway accepts no more connections.
type stopLoad struct {
	asked, unanswered, reset atomic.Int64
	callers                  sync.WaitGroup
}

func (l *stopLoad) run(g *gatewayProcess) {
	defer l.callers.Done()
	var c *callerConn
	for {
		if c == nil {
			var err error
			if c, err = connect(g); err != nil {
				return
			}
		}
		l.asked.Add(1)
		_, _, closes, err := c.ask("unknown")
		switch {
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
			l.reset.Add(1)
		case err != nil:
			l.unanswered.Add(1)
		}
		if closes {
			c.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestStoppingGatewayAnswersWhatArrives stops a gateway under load. Requests that arrive on
// connections which it had accepted before it closed its listener must be answered: on new
// ones, and on one whose stream began before the stop and ends after the listener is closed.
func TestStoppingGatewayAnswersWhatArrives(t *testing.T) {
	d := newGatewayDeploymentWithEventGap(t, 900*time.Millisecond)
	g := d.startGateway("front-1")
	streaming, err := connect(g)
	assert.NilError(t, err)
	streamed := make(chan error, 1)
	go func() {
		status, body, closes, err := streaming.ask("key")
		if err == nil && (status != http.StatusOK || strings.Count(body, "\n\n") != eventsPerStream || closes) {
			err = errors.Newf("status %d, closes %t, body %q", status, closes, body)
		}
		if err == nil {
			_, _, _, err = streaming.ask("unknown")
		}
		streamed <- err
	}()
	var load stopLoad
	load.callers.Add(20)
	for range 20 {
		go load.run(g)
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	var fresh []*callerConn
	for {
		c, err := connect(g)
		if err != nil {
			break
		}
		fresh = append(fresh, c)
		time.Sleep(50 * time.Millisecond)
	}
	load.callers.Wait()
	for _, c := range fresh[len(fresh)-5 : len(fresh)-1] {
		status, _, _, err := c.ask("unknown")
		assert.Check(t, err == nil && status == http.StatusUnauthorized, "status %d, %v, on a connection accepted before", status, err)
	}
	assert.Check(t, <-streamed)
	t.Logf("%d requests, %d read and not answered, %d reset", load.asked.Load(), load.unanswered.Load(), load.reset.Load())
	assert.Equal(t, load.unanswered.Load(), int64(0))
	assert.Check(t, load.reset.Load() <= 1, "closing the listener may reset a connection that arrives in that moment")
	assert.NilError(t, <-g.exited)
}

// TestShortStopAnswersPendingRequest stops a gateway with little time while an endpoint does not
// answer: the caller must get a response, which does not say that the request has not run.
func TestShortStopAnswersPendingRequest(t *testing.T) {
	d := newGatewayDeployment(t)
	d.grace = 1
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { silent.Close() })
	d.workerAddr = silent.Addr().String()
	d.registerWorker()
	g := d.startGateway("front-1")
	c, err := connect(g)
	assert.NilError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { _ = g.cmd.Process.Signal(syscall.SIGTERM) })
	status, body, _, err := c.ask("key")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway, "%s", body)
	assert.NilError(t, <-g.exited)
}

// TestStopWithSilentStoreEndsInTime stops a gateway whose metadata store does not answer while a
// stream goes on that takes longer than the grace period.
func TestStopWithSilentStoreEndsInTime(t *testing.T) {
	d := newGatewayDeploymentWithEventGap(t, 1900*time.Millisecond)
	d.grace = 4
	g := d.startGateway("front-1")
	go func() { _, _, _ = g.ask("key") }()
	time.Sleep(300 * time.Millisecond)
	d.storeServer.SetFault(fleetstore.Fault{NoAnswer: true})
	time.Sleep(300 * time.Millisecond)
	stopAt := time.Now()
	assert.NilError(t, g.cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, <-g.exited)
	took := time.Since(stopAt)
	assert.Check(t, took < time.Duration(d.grace)*time.Second, "%v", took)
}
