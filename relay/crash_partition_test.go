package relay_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/tunnel"
	"redwingknot/tunnel/tunnelpb"
)

// testDetours is one other instance that answers all questions alike.
type testDetours struct {
	dial func(ctx context.Context) (net.Conn, error)
}

func (d *testDetours) Peers(uint64) []string { return []string{"front-2"} }

func (d *testDetours) Dial(ctx context.Context, _ string, _ fleet.EndpointKey) (net.Conn, error) {
	return d.dial(ctx)
}

func refusedBy(result tunnelpb.Result) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) { return nil, &tunnel.RefusedError{Result: result} }
}

// TestRefusedConnectionIsNoCrashUnlessConfirmed loses connections to endpoints that then refuse
// new ones, as a crash or a partition does. The request is a suspect only if another
// instance finds the same, or if there is none.
func TestRefusedConnectionIsNoCrashUnlessConfirmed(t *testing.T) {
	for _, c := range []struct {
		name     string
		detours  *testDetours
		suspects bool
	}{
		{"no other instance", nil, true},
		{"another instance is refused", &testDetours{refusedBy(tunnelpb.Result_RESULT_REFUSED)}, true},
		{"another instance can't tell", &testDetours{refusedBy(tunnelpb.Result_RESULT_UNREACHABLE)}, false},
		{"another instance is cut off, too", &testDetours{refusedBy(tunnelpb.Result_RESULT_DECLINED)}, false},
		{"another instance connects", &testDetours{func(context.Context) (net.Conn, error) {
			c, _ := net.Pipe()
			return c, nil
		}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBedWithDetours(t, c.detours)
			var f *fakeEndpoint
			f = b.startEndpoint("i-1", func(*exchange) { f.crash() })
			b.send("/once/unlucky")
			assert.Equal(t, len(b.suspects()) > 0, c.suspects)
		})
	}
}
