package fleet

// Endpoint is one incarnation of a server of a service. It is immutable.
type Endpoint struct {
	ID             string
	StartMillis    int64 // Unix milliseconds of its start; 0 if not told
	Service        string
	Address        string // IP:port
	DataCentre     string
	Slots          int
	Leaving        bool             // takes no new work
	WeightVersions map[string]int64 // version of each model's weights
}

// EndpointKey names an incarnation: an identifier can return with another start.
type EndpointKey struct {
	ID          string
	StartMillis int64
}

// Key returns the endpoint's key.
func (e *Endpoint) Key() EndpointKey { return EndpointKey{ID: e.ID, StartMillis: e.StartMillis} }
