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

// operatorPath begins the paths at which the store stand-in takes what the
// operator writes: the key follows, the body is the value.
const operatorPath = "/operator/"

// fleetStoreCommand runs the metadata store of the users' machines.
func fleetStoreCommand(listen *string) *cobra.Command {
	return serving("fleetstore", "The metadata store of the users' machines", listen, func() http.Handler {
		content := metastoretest.NewStore(time.Now)
		m := http.NewServeMux()
		m.Handle("/", fleetstore.New(content))
		m.HandleFunc("POST "+operatorPath, func(w http.ResponseWriter, r *http.Request) {
			value, err := io.ReadAll(r.Body)
			if err != nil {
				return // the caller is gone
			}
			if err := fleetstore.Put(content, strings.TrimPrefix(r.URL.Path, operatorPath), value); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
			}
		})
		return m
	})
}

// fleetWorkerCommand runs an endpoint of the users' machines.
func fleetWorkerCommand(listen *string) *cobra.Command {
	var o fleetworker.Options
	var store, zone string
	c := &cobra.Command{Use: "fleetworker", Short: "An endpoint of the users' machines", Args: cobra.NoArgs}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		worker := fleetworker.New(o)
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
	f.IntVar(&o.Slots, "slots", 8, "requests worked on at once")
	f.IntVar(&o.MaxQueued, "queue", 16, "requests that wait beyond the slots")
	f.IntVar(&o.StreamEvents, "events", 20, "events of a stream")
	f.DurationVar(&o.WorkTime, "work", 15*time.Millisecond, "time to an answer, or to a stream's first event")
	f.DurationVar(&o.EventGap, "gap", 50*time.Millisecond, "time between the events of a stream")
	f.DurationVar(&o.LoadTime, "load-time", 300*time.Millisecond, "time to load weights")
	return c
}

// sendCommand posts a file's content, or text, with headers; it prints the
// answer's status and body.
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
	c.Flags().StringArrayVarP(&headers, "header", "H", nil, "header as name: value")
	c.Flags().StringVar(&host, "host", "", "host of the request")
	c.Flags().StringVar(&body, "body", "", "body")
	return c
}
