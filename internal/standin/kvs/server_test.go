package kvs_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/kvs"
	"redwingknot/metastore"
)

const purpose = metastore.Purpose("test")

// startServer starts the service over HTTP and returns it with a client.
func startServer(t *testing.T, o kvs.Options) (*kvs.Server, *metastore.Client) {
	t.Helper()
	s := kvs.New(o)
	httpServer := httptest.NewServer(s)
	t.Cleanup(httpServer.CloseClientConnections)
	t.Cleanup(httpServer.Close)
	return s, metastore.NewClient(metastore.ClientOptions{URLs: []string{httpServer.URL}})
}

func TestCompareAndSwap(t *testing.T) {
	ctx := t.Context()
	_, c := startServer(t, kvs.Options{})
	_, err := c.Get(ctx, purpose, "a")
	assert.Assert(t, metastore.IsCause(err, metastore.CauseNotFound))
	rev, err := c.Create(ctx, purpose, "a", []byte{0, 255}, 0)
	assert.NilError(t, err)
	_, err = c.Create(ctx, purpose, "a", nil, 0)
	assert.Assert(t, metastore.IsCause(err, metastore.CauseExists))
	_, err = c.Swap(ctx, purpose, "a", nil, rev+1, 0)
	assert.Assert(t, metastore.IsCause(err, metastore.CauseConflict))
	next, err := c.Swap(ctx, purpose, "a", []byte("2"), rev, 0)
	assert.NilError(t, err)
	assert.Assert(t, next > rev)
	_, err = c.Create(ctx, purpose, "b", []byte("3"), 0)
	assert.NilError(t, err)
	found, at, err := c.Range(ctx, purpose, "a", "z", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(found), 2)
	assert.Equal(t, string(found[0].Value), "2")
	assert.Assert(t, at > next)
	assert.Assert(t, metastore.IsCause(c.Delete(ctx, purpose, "a", rev), metastore.CauseConflict))
	assert.NilError(t, c.Delete(ctx, purpose, "a", next))
	assert.NilError(t, c.DeleteRange(ctx, purpose, "a", "z"))
	assert.Assert(t, metastore.IsCause(c.Delete(ctx, purpose, "b", 0), metastore.CauseNotFound))
	_, err = c.Create(ctx, purpose, "big", make([]byte, metastore.MaxValueBytes+1), 0)
	assert.Assert(t, metastore.IsCause(err, metastore.CauseTooLarge))
}

func TestRevokedLeaseDeletesItsKeys(t *testing.T) {
	ctx := t.Context()
	s, c := startServer(t, kvs.Options{})
	id, err := c.Grant(ctx, purpose, time.Second)
	assert.NilError(t, err)
	_, err = c.Create(ctx, purpose, "lead", nil, id)
	assert.NilError(t, err)
	ttl, err := c.KeepAlive(ctx, purpose, id)
	assert.NilError(t, err)
	assert.Equal(t, ttl, time.Second)
	assert.NilError(t, c.Revoke(ctx, purpose, id))
	assert.Equal(t, len(s.Store().Keys()), 0)
	_, err = c.KeepAlive(ctx, purpose, id)
	assert.Assert(t, metastore.IsCause(err, metastore.CauseLeaseExpired))
	_, err = c.Create(ctx, purpose, "lead", nil, id)
	assert.Assert(t, metastore.IsCause(err, metastore.CauseLeaseExpired))
}

func TestWatchSendsChangesAfterRevision(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s, c := startServer(t, kvs.Options{})
	rev, err := c.Create(ctx, purpose, "w/1", []byte("1"), 0)
	assert.NilError(t, err)
	changes, err := c.Watch(ctx, purpose, "w/", "w0", rev)
	assert.NilError(t, err)
	_, err = c.Create(ctx, purpose, "w/2", []byte("2"), 0)
	assert.NilError(t, err)
	assert.NilError(t, c.Delete(ctx, purpose, "w/1", 0))
	first := <-changes
	assert.Equal(t, first.Entry.Key, "w/2")
	second := <-changes
	assert.Assert(t, second.Deleted && second.Entry.Key == "w/1")
	s.SetFault(kvs.Fault{Down: true})
	_, open := <-changes
	assert.Assert(t, !open)
	cancel()
}

func TestErrorsReportWhetherTheCallTookEffect(t *testing.T) {
	ctx := t.Context()
	s, c := startServer(t, kvs.Options{})
	s.SetFault(kvs.Fault{LoseNextAnswers: 1})
	_, err := c.Create(ctx, purpose, "a", nil, 0)
	assert.Assert(t, metastore.IsUnknownOutcome(err), "%v", err)
	assert.DeepEqual(t, s.Store().Keys(), []string{"a"})
	s.SetFault(kvs.Fault{Down: true})
	_, err = c.Create(ctx, purpose, "b", nil, 0)
	assert.Assert(t, metastore.IsUnknownOutcome(err), "%v", err)

	closed := httptest.NewServer(s)
	closed.Close()
	unreachable := metastore.NewClient(metastore.ClientOptions{URLs: []string{closed.URL}})
	_, err = unreachable.Create(ctx, purpose, "c", nil, 0)
	var notSent *metastore.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
}

func TestClientFallsBackToReachableAddress(t *testing.T) {
	s := kvs.New(kvs.Options{})
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	closed := httptest.NewServer(s)
	closed.Close()
	c := metastore.NewClient(metastore.ClientOptions{URLs: []string{closed.URL, httpServer.URL}})
	_, err := c.Create(t.Context(), purpose, "a", nil, 0)
	assert.NilError(t, err)
}

func TestBudgetRefusesImmediately(t *testing.T) {
	ctx := t.Context()
	s := kvs.New(kvs.Options{})
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	budget := metastore.NewBudget(metastore.BudgetOptions{WritesPerSecond: 1e-6, WriteBurst: 2})
	c := metastore.NewClient(metastore.ClientOptions{URLs: []string{httpServer.URL}, Budget: budget})
	for _, key := range []string{"a", "b"} {
		_, err := c.Create(ctx, purpose, key, nil, 0)
		assert.NilError(t, err)
	}
	_, err := c.Create(ctx, purpose, "c", nil, 0)
	assert.Assert(t, metastore.IsCause(err, metastore.CauseOverBudget))
	_, err = c.Get(ctx, purpose, "a")
	assert.NilError(t, err)
}

// TestWatchFailsWhenServiceDoesNotAnswer watches at a service that accepts the
// request and never answers.
func TestWatchFailsWhenServiceDoesNotAnswer(t *testing.T) {
	stop := make(chan struct{})
	httpServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer httpServer.Close()
	defer close(stop)
	c := metastore.NewClient(metastore.ClientOptions{URLs: []string{httpServer.URL}})
	_, err := c.Watch(t.Context(), purpose, "a", "b", 0)
	assert.Assert(t, metastore.IsUnknownOutcome(err), "%v", err)
}
