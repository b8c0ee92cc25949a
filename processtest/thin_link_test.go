package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/internal/soak"
)

// thinLinkBytesPerSecond is the bandwidth of the narrowest links of the users'
// machines, 10 Mbit/s.
const thinLinkBytesPerSecond = 10e6 / 8

// largeConfig returns a configuration of some 900 KB whose first route has the given
// host.
func largeConfig(version int, host string) string { return configWithRoutes(version, host, 4000) }

// smallConfig returns a configuration with one route, which has the given host.
func smallConfig(version int, host string) string { return configWithRoutes(version, host, 0) }

// configWithRoutes returns a configuration with a route that has the given host, and
// routeCount others.
func configWithRoutes(version int, host string, routeCount int) string {
	var routes strings.Builder
	fmt.Fprintf(&routes, `{"name":"r","host":%q,"path_prefix":"/x/","kind":"stream","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"s","max_attempts":1}`, host)
	for i := range routeCount {
		fmt.Fprintf(&routes, `,{"name":"route-%d","host":"host-%d.example","path_prefix":"/path-%d/","kind":"stream","timeout_ms":8000,
			"target_latency_ms":300,"priority":0,"service":"s","max_attempts":1,"resumable":true,"public":false}`, i, i, i)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],
		"services":[{"name":"s","health_path":"/health","max_conns":50,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`, version, routes.String())
}

// TestGatewayAppliesLargeConfigOverThinLink drops a route by a large configuration and
// adds it again by another one while the metadata store is behind a thin link: each must
// come into force, and callers' tokens must be confirmed under it.
func TestGatewayAppliesLargeConfigOverThinLink(t *testing.T) {
	d := newGatewayDeployment(t)
	link, err := soak.NewLink(d.storeAddr)
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	link.SetBandwidth(thinLinkBytesPerSecond)
	d.storeAddr = link.Addr()
	g := d.startGateway("front-1")
	g.waitForStatus(t, http.StatusOK)
	d.putKey("op/config", largeConfig(10, "another-host"))
	g.waitForStatus(t, http.StatusNotFound)
	d.putKey("op/config", largeConfig(20, "h"))
	g.waitForStatus(t, http.StatusOK)
}
