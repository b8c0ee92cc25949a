package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"redwingknot/metric"
	"redwingknot/relay"
)

// ExplainPath is the path on the metrics address that explains where a request would be sent.
const ExplainPath = "/explain"

// metricsRoutes returns the handler of the metrics address. Explanations are served only there:
// they name endpoints and teams.
func (g *Gateway) metricsRoutes() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc(ExplainPath, g.serveExplanation).Methods(http.MethodGet)
	routes.NotFoundHandler = metric.Handler() // at every other path, as without explanations
	return routes
}

// Bounds of the parameters of an explanation.
const (
	maxExplainValue  = 16 << 10 // bytes
	maxExplainTokens = 100_000_000
	maxExplainParts  = 64
)

// ExplainParameterError reports a parameter of an explanation that is absent, unknown, given
// twice or invalid.
type ExplainParameterError struct{ Parameter, Detail string }

// Error implements error.
func (e *ExplainParameterError) Error() string { return "parameter " + e.Parameter + ": " + e.Detail }

// serveExplanation answers with the explanation of the request that the query parameters
// describe, as JSON.
func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	request, err := parseExplained(r.URL.RawQuery)
	var x *relay.Explanation
	if err == nil {
		x, err = g.relay.Explain(request)
	}
	if err != nil {
		metric.Counter("explanations_invalid_total").Inc(1)
		writeExplanation(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	metric.Counter("explanations_total", "outcome", x.Outcome).Inc(1)
	writeExplanation(w, http.StatusOK, x)
}

func writeExplanation(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator is gone; there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(v)
}

// explainParameters are the names of the parameters of an explanation.
var explainParameters = []string{"host", "path", "team", "attempt", "model", "input_tokens", "output_tokens", "parts"}

// parseExplained decodes the parameters of an explanation. The error is an
// *ExplainParameterError.
func parseExplained(query string) (relay.ExplainedRequest, error) {
	var r relay.ExplainedRequest
	values, err := url.ParseQuery(query)
	if err != nil {
		return r, &ExplainParameterError{"query", "it can't be decoded"}
	}
	for name, list := range values {
		switch {
		case !slices.Contains(explainParameters, name):
			return r, &ExplainParameterError{name, "it is not known"}
		case len(list) > 1:
			return r, &ExplainParameterError{name, "it is given more than once"}
		case len(list[0]) > maxExplainValue:
			return r, &ExplainParameterError{name, "it is too long"}
		}
	}
	r = relay.ExplainedRequest{Host: values.Get("host"), Path: values.Get("path"), Team: values.Get("team"), AttemptID: values.Get("attempt")}
	switch {
	case r.Host == "":
		return r, &ExplainParameterError{"host", "it is required"}
	case !strings.HasPrefix(r.Path, "/"):
		return r, &ExplainParameterError{"path", "it must begin with a slash"}
	}
	r.Prompt, err = parseExplainedPrompt(values)
	return r, err
}

// parseExplainedPrompt decodes the parameters that describe a prompt, nil without a model.
func parseExplainedPrompt(values url.Values) (*relay.Prompt, error) {
	model := values.Get("model")
	if model == "" {
		for _, name := range []string{"input_tokens", "output_tokens", "parts"} {
			if values.Has(name) {
				return nil, &ExplainParameterError{name, "it needs a model"}
			}
		}
		return nil, nil
	}
	p := &relay.Prompt{Model: model}
	var err error
	if p.InputTokens, err = parseTokens("input_tokens", values.Get("input_tokens")); err != nil {
		return nil, err
	}
	if p.MaxOutputTokens, err = parseTokens("output_tokens", values.Get("output_tokens")); err != nil {
		return nil, err
	}
	p.Parts, err = parseParts(values.Get("parts"))
	return p, err
}

// parseTokens decodes a number of tokens, 0 if it is absent.
func parseTokens(name, s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maxExplainTokens {
		return 0, &ExplainParameterError{name, "not a number of tokens"}
	}
	return n, nil
}

// parseParts decodes the parts of a prompt: ID:TOKENS, separated by commas.
func parseParts(s string) ([]relay.Part, error) {
	if s == "" {
		return nil, nil
	}
	var parts []relay.Part
	for field := range strings.SplitSeq(s, ",") {
		id, number, ok := strings.Cut(field, ":")
		tokens, err := parseTokens("parts", number)
		if !ok || id == "" || number == "" || err != nil {
			return nil, &ExplainParameterError{"parts", "not of the form ID:TOKENS,ID:TOKENS"}
		}
		parts = append(parts, relay.Part{ID: id, Tokens: tokens})
	}
	if len(parts) > maxExplainParts {
		return nil, &ExplainParameterError{"parts", "there are more than " + strconv.Itoa(maxExplainParts)}
	}
	return parts, nil
}
