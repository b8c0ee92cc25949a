package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
)

// setSoftware gives an endpoint a software version.
func (b *testBed) setSoftware(f *fakeEndpoint, version string) {
	spec := *f.spec
	spec.SoftwareVersion = version
	f.spec = &spec
	b.view.PutEndpoint(f.spec)
}

// streamRest writes the events of a stream of four from the one after Last-Event-Id on.
func streamRest(x *exchange) {
	x.startStream()
	for id := headerInt(x.Header, "Last-Event-Id") + 1; id < 4; id++ {
		x.event(id)
	}
	x.endStream()
}

// TestResumedStreamStaysAtItsSoftwareVersion breaks off streams of a software version while
// endpoints of two serve.
func TestResumedStreamStaysAtItsSoftwareVersion(t *testing.T) {
	b := newTestBed(t)
	breakOff := func(x *exchange) {
		x.startStream()
		x.event(0)
		x.reset()
	}
	first := b.startEndpoint("i-1", breakOff)
	var others []*fakeEndpoint
	for _, id := range []string{"i-2", "i-3", "i-4"} {
		other := b.startEndpoint(id, streamRest)
		b.setSoftware(other, "v2")
		others = append(others, other)
	}
	r := b.send("/goon/1", "Attempt-Id", "begun")
	for requestCount(first) == 0 {
		r = b.send("/goon/1", "Attempt-Id", "begun")
	}
	assert.Check(t, r.err != nil, "the stream ended as complete: %q", r.body)
	served := requestCount(others...)

	r = b.send("/goon/1", "Attempt-Id", "again", "Resumes", "begun", "Last-Event-Id", "0")
	assert.Equal(t, requestCount(others...), served, "an endpoint of another version got the request")
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusBadGateway
	assert.Check(t, refused || r.err != nil, "status %d: %q", r.status, r.body)
	assert.Check(t, !strings.Contains(r.body, "id:"), "an event that the caller has, or one of another run: %q", r.body)

	same := b.startEndpoint("i-5", streamRest)
	b.view.RemoveEndpoint("i-1", b.now())
	r = b.send("/goon/1", "Attempt-Id", "third", "Resumes", "begun", "Last-Event-Id", "0")
	assert.Equal(t, r.body, eventText(1)+eventText(2)+eventText(3))
	assert.Equal(t, len(same.requests()), 1)
}

// TestStreamOfUnknownOriginIsRefused takes up streams of which nothing is known while
// endpoints of two software versions serve, and when there has been only one for long enough.
func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	b := newTestBed(t)
	old := b.startEndpoint("i-1", streamRest)
	b.setSoftware(b.startEndpoint("i-2", streamRest), "v2")
	takeUp := func() reply { return b.send("/goon/1", "Resumes", "stranger", "Last-Event-Id", "0") }
	r := takeUp()
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Check(t, headerSeconds(r.header) > 0)
	b.view.RemoveEndpoint(old.spec.ID, b.now())
	assert.Equal(t, takeUp().status, http.StatusServiceUnavailable, "streams of the version that is gone may last")
	b.advance(7 * time.Second)
	b.view.Confirm(b.now())
	b.relay.Endpoints().ObserveSoftware()
	assert.Equal(t, takeUp().status, http.StatusOK, "one version for long enough")
	assert.Equal(t, b.send("/goon/1", "Last-Event-Id", "0").status, http.StatusOK, "a caller that names no attempt")
}

// newSplitConfig returns a configuration whose resumable route leads to the services s and other
// with the given weights.
func newSplitConfig(version int64, weight, otherWeight float64) *fleet.Config {
	r := resumableRoute
	r.Timeout, r.TargetTime, r.MaxAttempts = 3*time.Second, 300*time.Millisecond, 2
	r.Shares = []fleet.Share{{Service: "s", Weight: weight}, {Service: "other", Weight: otherWeight}}
	c := fleet.NewConfig(version, []*fleet.Route{&r})
	for _, name := range []string{"s", "other"} {
		c.Services[name] = &fleet.Service{Name: name, Engine: &fleet.Engine{Models: []string{"m"}, CacheTokens: 100000}}
	}
	c.Limits.BodyBytes, c.AuthRequired = 1<<20, true
	c.Teams["key"] = &fleet.Team{Name: "team", Priority: -1}
	return c
}

// TestStreamGoesOnAtItsServiceAfterNewWeights guards against streams that are refused, or joined
// with another service's, because the weights of their route's split have changed since they began.
func TestStreamGoesOnAtItsServiceAfterNewWeights(t *testing.T) {
	b := newTestBed(t)
	b.view.ApplyConfig(newSplitConfig(2, 1, 0))
	begin := b.startEndpoint("i-1", streamRest)
	other := b.startEndpoint("i-2", streamRest)
	spec := *other.spec
	spec.Service = "other"
	other.spec = &spec
	b.view.PutEndpoint(other.spec)
	const streams = 20
	attempt := func(n int) string { return fmt.Sprintf("begun-%d", n) }
	for n := range streams {
		assert.NilError(t, b.send("/goon/1", "Attempt-Id", attempt(n)).err)
	}
	takeUp := func(n int, name string) reply {
		return b.send("/goon/1", "Attempt-Id", name+attempt(n), "Resumes", attempt(n), "Last-Event-Id", "0")
	}
	b.view.ApplyConfig(newSplitConfig(3, 0.1, 0.9))
	for n := range streams {
		r := takeUp(n, "changed")
		assert.Equal(t, r.body, events(1, 2, 3), "status %d", r.status)
	}
	assert.Equal(t, requestCount(begin), 2*streams)
	// A service without a weight, or without the route, may not get its requests any more.
	b.view.ApplyConfig(newSplitConfig(4, 0, 1))
	r := takeUp(0, "without-weight")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	moved := newSplitConfig(5, 0, 1)
	moved.Match("h", "/goon/").Shares = []fleet.Share{{Service: "other", Weight: 1}}
	b.view.ApplyConfig(moved)
	r = takeUp(0, "moved")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Check(t, headerSeconds(r.header) > 0)
	assert.Equal(t, requestCount(begin), 2*streams)
	assert.Equal(t, requestCount(other), 0)
}
