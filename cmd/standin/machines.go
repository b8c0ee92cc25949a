package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"redwingknot/internal/standin"
	"redwingknot/internal/standin/fleetstore"
	"redwingknot/internal/standin/fleetworker"
	"redwingknot/metastore/metastoretest"
	"redwingknot/platform"
)

// operatorPath is the prefix of the paths at which the metadata store stand-in
// accepts the operator's writes. The key follows it; the request body is the
// value.
const operatorPath = "/operator/"

// fleetStoreCommand returns the command that runs a stand-in for the metadata
// store of the users' platform.
func fleetStoreCommand(listen *string) *cobra.Command {
	return newServeCommand("fleetstore", "Run a stand-in for the metadata store of the users' platform", listen, func() http.Handler {
		content := metastoretest.NewStore(time.Now)
		m := http.NewServeMux()
		m.Handle("/", fleetstore.New(content))
		m.HandleFunc("POST "+operatorPath, func(w http.ResponseWriter, r *http.Request) {
			value, err := io.ReadAll(r.Body)
			if err != nil {
				return // the client has closed the connection
			}
			if err := fleetstore.Put(content, strings.TrimPrefix(r.URL.Path, operatorPath), value); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
			}
		})
		return m
	})
}

// fleetWorkerCommand returns the command that runs a stand-in for an endpoint on
// the users' platform and registers it in the metadata store.
func fleetWorkerCommand(listen *string) *cobra.Command {
	var o fleetworker.Options
	var store, zone string
	var unframed bool
	c := &cobra.Command{Use: "fleetworker", Short: "Run a stand-in for an endpoint on the users' platform", Args: cobra.NoArgs}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		worker := fleetworker.New(o)
		worker.SetUnframed(unframed)
		ctx, cancel := context.WithCancel(cmd.Context())
		defer cancel()
		go worker.Register(ctx, platform.NewStoreClient(store), *listen, zone)
		return standin.Serve(ctx, *listen, worker)
	}
	f := c.Flags()
	f.StringVar(&store, "store", "", "address of the metadata store")
	f.StringVar(&zone, "zone", "", "data centre")
	f.StringVar(&o.ID, "id", "", "identifier")
	f.StringVar(&o.Service, "service", "", "service")
	f.StringVar(&o.Model, "model", "", "model of an engine, empty for an application")
	f.Int64Var(&o.WeightsVersion, "weights", 1, "version of the weights loaded")
	f.IntVar(&o.Slots, "slots", 8, "requests processed at the same time")
	f.IntVar(&o.MaxQueued, "queue", 16, "requests that may wait for a slot")
	f.IntVar(&o.StreamEvents, "events", 20, "events in a stream")
	f.DurationVar(&o.WorkTime, "work", 15*time.Millisecond, "time until an answer, or until the first event of a stream")
	f.DurationVar(&o.EventGap, "gap", 50*time.Millisecond, "time between the events of a stream")
	f.DurationVar(&o.LoadTime, "load-time", 300*time.Millisecond, "time to load weights")
	f.BoolVar(&unframed, "unframed", false, "send responses without length or chunks, which end with their connection")
	return c
}

// sendCommand returns the command that posts a body with given headers and prints
// the status and body of the answer.
func sendCommand() *cobra.Command {
	var headers []string
	var host, body string
	c := &cobra.Command{Use: "send URL", Short: "Post a body with headers", Args: cobra.ExactArgs(1)}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		req, err := http.NewRequestWithContext(cmd.Context(), http.MethodPost, args[0], strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Host = host
		for _, h := range headers {
			name, value, _ := strings.Cut(h, ":")
			req.Header.Set(name, strings.TrimSpace(value))
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		cmd.Println(res.Status)
		_, err = io.Copy(cmd.OutOrStdout(), res.Body)
		return err
	}
	c.Flags().StringArrayVarP(&headers, "header", "H", nil, "header, as name: value; may be repeated")
	c.Flags().StringVar(&host, "host", "", "Host header of the request")
	c.Flags().StringVar(&body, "body", "", "body")
	return c
}
