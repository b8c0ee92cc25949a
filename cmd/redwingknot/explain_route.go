package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"redwingknot/gateway"
	"redwingknot/relay"
)

// maxExplanationBytes bounds the response that is read from a gateway.
const maxExplanationBytes = 16 << 20

// explainRefusedError reports that a gateway did not explain a request.
type explainRefusedError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *explainRefusedError) Error() string {
	return fmt.Sprintf("the gateway answered %d: %s", e.Status, e.Detail)
}

// explainedFlags describe the request to be explained.
type explainedFlags struct {
	host, path, team, attempt, model string
	input, output                    int
	parts                            []string
}

// query returns the flags as query parameters.
func (f *explainedFlags) query() url.Values {
	v := url.Values{"host": {f.host}, "path": {f.path}}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	set("team", f.team)
	set("attempt", f.attempt)
	set("model", f.model)
	set("parts", strings.Join(f.parts, ","))
	if f.input != 0 {
		v.Set("input_tokens", strconv.Itoa(f.input))
	}
	if f.output != 0 {
		v.Set("output_tokens", strconv.Itoa(f.output))
	}
	return v
}

// explainRouteCommand returns the command that asks a gateway where it would send a request.
func explainRouteCommand() *cobra.Command {
	var f explainedFlags
	var asJSON bool
	c := &cobra.Command{
		Use: "route ADDRESS", Short: "Show where a gateway would send a request now, and why; ADDRESS is its metrics address", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := fetchExplanation(cmd, args[0], &f)
			if err != nil {
				return err
			}
			if asJSON {
				_, err := cmd.OutOrStdout().Write(body)
				return err
			}
			var x textExplanation
			if err := json.Unmarshal(body, &x); err != nil {
				return errors.Wrap(err, "decode explanation")
			}
			return x.print(cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&f.host, "host", "", "host of the request")
	c.Flags().StringVar(&f.path, "path", "/", "path of the request")
	c.Flags().StringVar(&f.team, "team", "", "name of the caller's team, not its key")
	c.Flags().StringVar(&f.attempt, "attempt", "", "attempt identifier, by which services and equal endpoints are chosen")
	c.Flags().StringVar(&f.model, "model", "", "model; empty for a plain request")
	c.Flags().IntVar(&f.input, "input-tokens", 0, "length of the prompt in tokens")
	c.Flags().IntVar(&f.output, "output-tokens", 0, "maximum number of tokens to generate")
	c.Flags().StringSliceVar(&f.parts, "part", nil, "part of the prompt in order, ID:TOKENS")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// fetchExplanation returns the explanation by the gateway at address, as JSON.
func fetchExplanation(cmd *cobra.Command, address string, f *explainedFlags) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: address, Path: gateway.ExplainPath, RawQuery: f.query().Encode()}
	r, err := http.NewRequestWithContext(cmd.Context(), http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	res, err := (&http.Client{Timeout: clientTimeout}).Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "ask the gateway")
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxExplanationBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the explanation")
	}
	if res.StatusCode != http.StatusOK {
		var problem struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(body, &problem) // without one, the status says what there is to say
		return nil, &explainRefusedError{Status: res.StatusCode, Detail: problem.Error}
	}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") {
		return nil, &explainRefusedError{Status: res.StatusCode, Detail: "no explanation; the gateway's version is older"}
	}
	return body, nil
}

// textExplanation is an explanation that is printed for people to read.
type textExplanation struct{ relay.Explanation }

// print writes the explanation to w.
func (x *textExplanation) print(w io.Writer) error {
	fmt.Fprintf(w, "%s", x.Outcome)
	if x.Chosen != "" {
		fmt.Fprintf(w, " to %s", x.Chosen)
	}
	if x.Ground != "" {
		fmt.Fprintf(w, " (%s)", x.Ground)
	}
	fmt.Fprintln(w)
	fmt.Fprintf(w, "route %s, service %s, team %s, rank %d, objective %d ms, deadline %d ms, instance %s in %s, config %d\n",
		x.Route, x.Service, x.Team, x.Rank, x.ObjectiveMs, x.DeadlineMs, x.Instance, x.DataCentre, x.Config)
	if len(x.Coordinator) > 0 {
		fmt.Fprintf(w, "slots granted by %s\n", strings.Join(x.Coordinator, ", then "))
	}
	if r := x.Refusal; r != nil {
		fmt.Fprintf(w, "refused with %d %s: %s; Retry-After %d to %d ms\n", r.Status, r.Reason, r.Detail, r.RetryAfterMinMs, r.RetryAfterMaxMs)
	}
	if q := x.Queue; q != nil {
		fmt.Fprintf(w, "ahead: %.0f here, %.0f at other instances; drains %.0f/s here; expected wait %d ms (estimated: %t)\n", q.Ahead, q.OthersAhead, q.DrainPerSecond, q.ExpectedWaitMs, q.Estimated)
		for _, r := range q.Own {
			fmt.Fprintf(w, "  here rank %d: %d requests, %.0f tokens\n", r.Rank, r.Requests, r.Cost)
		}
		for _, r := range q.Others {
			fmt.Fprintf(w, "  elsewhere rank %d: %.0f tokens\n", r.Rank, r.Cost)
		}
	}
	return x.printEndpoints(w)
}

// printEndpoints writes a line for each endpoint.
func (x *textExplanation) printEndpoints(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, e := range x.Endpoints {
		if i == 0 {
			fmt.Fprintln(t, "endpoint\tdata centre\tstanding\tcost\tpending\tuncached\tfetch\texcess requests\texcess memory\tslowness\tremote\tinterference\trunning\tload")
		}
		fmt.Fprintf(t, "%s\t%s\t%s", e.ID, e.DataCentre, e.Standing)
		if c := e.Terms; c != nil {
			fmt.Fprintf(t, "\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%.0f\t%d/%d\t%.2f", c.Cost, c.Pending, c.Uncached, c.Fetch, c.ExcessRequests, c.ExcessMemory, c.Slowness, c.Remote, c.Interference, c.Running, c.Slots, c.Load)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
