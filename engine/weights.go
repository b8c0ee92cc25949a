package engine

import "net/http"

// Weights names what an engine computes with. A block holds the state of one Weights and must
// not be used with any other.
type Weights struct {
	Model   string
	Version string // weight version of the model
	Adapter string // adapter as name@version, empty for none
}

// WeightsFrom returns the weights that the headers of a request or a response name.
func WeightsFrom(h http.Header) Weights {
	return Weights{Model: h.Get(HeaderModel), Version: h.Get(HeaderWeightVersion), Adapter: h.Get(HeaderAdapter)}
}

// SetHeaders sets the headers that name w.
func (w Weights) SetHeaders(h http.Header) {
	h.Set(HeaderModel, w.Model)
	h.Set(HeaderWeightVersion, w.Version)
	h.Del(HeaderAdapter)
	if w.Adapter != "" {
		h.Set(HeaderAdapter, w.Adapter)
	}
}

// String returns the model, its version and, behind a plus sign, the adapter if there is one.
func (w Weights) String() string {
	text := w.Model + "@" + w.Version
	if w.Adapter != "" {
		text += "+" + w.Adapter
	}
	return text
}
