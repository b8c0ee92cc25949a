package suspect

import (
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/wire"
)

// TestServerOverTheWire checks that two clients, whose local Servers are not owners,
// share the state of another Server over a TCP connection.
func TestServerOverTheWire(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer([]byte("k"))
	NewServer(Config{}, nil).Register(server)
	go server.Serve(t.Context(), l)
	conn := wire.NewClient(l.Addr().String(), []byte("k"), nil)
	defer conn.Close()
	owner := Member{Instance: "home", DataCentre: "dc0", Addr: l.Addr().String()}
	newEntryClient := func(name string) *Client {
		return NewClient(ClientConfig{
			Instance: name, DataCentre: "dc0", Local: NewServer(Config{}, nil),
			Members: func() []Member { return []Member{owner} },
			Dial:    func(string) wire.Caller { return conn },
		})
	}
	a, b := newEntryClient("a"), newEntryClient("b")
	rng, deadline := rand.New(rand.NewPCG(1, 1)), time.Now().Add(testRunLimit)
	p, err := a.Begin(t.Context(), testFingerprint(crashingRequest), "1", deadline, rng)
	assert.NilError(t, err)
	p.EndWithCrash(t.Context(), Crash{Endpoint: "e1", Epoch: "x"})

	p, err = b.Begin(t.Context(), testFingerprint(crashingRequest), "2", deadline, rng)
	assert.NilError(t, err)
	assert.Assert(t, p.Alone)
	assert.DeepEqual(t, p.Exclude, []string{"e1"})
	_, err = a.Begin(t.Context(), testFingerprint(crashingRequest), "3", deadline, rng)
	assert.ErrorContains(t, err, "suspect-running")
	p.EndWithoutCrash(t.Context())

	p, err = a.Begin(t.Context(), testFingerprint(crashingRequest), "4", deadline, rng)
	assert.NilError(t, err)
	assert.Assert(t, !p.Alone)
}

// BenchmarkAskOverTheWire measures what asking for a verdict costs per model
// request, on the entry instance and the owner of the fingerprint together.
func BenchmarkAskOverTheWire(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := wire.NewServer([]byte("k"))
	NewServer(Config{}, nil).Register(server)
	go server.Serve(b.Context(), l)
	conn := wire.NewClient(l.Addr().String(), []byte("k"), nil)
	defer conn.Close()
	owner := Member{Instance: "home", DataCentre: "dc0", Addr: l.Addr().String()}
	c := NewClient(ClientConfig{
		Instance: "a", DataCentre: "dc0", Local: NewServer(Config{}, nil),
		Members: func() []Member { return []Member{owner} },
		Dial:    func(string) wire.Caller { return conn },
	})
	f := testFingerprint(1)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		c.askOwners(b.Context(), f)
	}
}

// BenchmarkSuspect reports the memory that a fingerprint takes in a Registry.
func BenchmarkSuspect(b *testing.B) {
	const entries = 4000
	for range b.N {
		before := heapBytes()
		r := NewRegistry(Config{})
		for i := range entries {
			r.RecordCrash(asRequest(testFingerprint(i)), Crash{Endpoint: "endpoint", Epoch: "epoch"}, false, time.Unix(0, 0))
		}
		b.ReportMetric(float64(heapBytes()-before)/entries, "B/suspect")
		runtime.KeepAlive(r)
	}
}

// heapBytes returns the number of bytes on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
