package fleet

import "time"

// ResumableTimeouts returns the services whose streams callers may take up, each with the
// longest timeout of the routes that lead to it and allow that.
func (c *Config) ResumableTimeouts() map[string]time.Duration {
	timeouts := map[string]time.Duration{}
	for _, list := range c.routes {
		for _, r := range list {
			if r.Kind != KindStream || !r.Resumable {
				continue
			}
			for _, share := range r.Shares {
				timeouts[share.Service] = max(timeouts[share.Service], r.Timeout)
			}
		}
	}
	return timeouts
}
