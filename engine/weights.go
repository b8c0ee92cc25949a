package engine

import "net/http"

// Weights names what an engine computes with. A block holds the state of one Weights and must
// not be used with any other.
type Weights struct {
	Version string // weight version of the model
	Adapter string // adapter as name@version, empty for none
}

// WeightsFrom returns the weights that the headers of a request or a response name.
func WeightsFrom(h http.Header) Weights {
	return Weights{Version: h.Get(HeaderWeightVersion), Adapter: h.Get(HeaderAdapter)}
}

// SetHeaders sets the headers that name w.
func (w Weights) SetHeaders(h http.Header) {
	h.Set(HeaderWeightVersion, w.Version)
	h.Del(HeaderAdapter)
	if w.Adapter != "" {
		h.Set(HeaderAdapter, w.Adapter)
	}
}

// String returns the version and, behind a plus sign, the adapter if there is one.
func (w Weights) String() string {
	if w.Adapter == "" {
		return w.Version
	}
	return w.Version + "+" + w.Adapter
}
