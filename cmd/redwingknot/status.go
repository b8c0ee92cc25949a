package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"redwingknot/load"
	"redwingknot/operator"
	"redwingknot/serve"
	"redwingknot/settings"
)

func statusCommand() *cobra.Command {
	var conn connection
	var asJSON bool
	c := &cobra.Command{
		Use: "status", Short: "Show the instances and what is in force in each data centre", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := conn.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
			}
			printStatus(cmd.OutOrStdout(), s)
			return nil
		},
	}
	conn.bind(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "seen from %s in %s: head %d, %d notes behind\n", s.Instance, s.DataCentre, s.Head, s.Behind)
	printDataCentres(w, s, s.Head)
	for _, m := range s.Instances {
		fmt.Fprintf(w, "instance %-20s %-14s ready=%t leaving=%t %s\n", m.ID, m.DataCentre, m.Ready, m.Leaving, m.Addr)
	}
}

// printDataCentres says per data centre whether a head is in force there, and
// no more than is known.
func printDataCentres(w io.Writer, s operator.Status, head uint64) {
	for _, dc := range s.DataCentres {
		switch {
		case !dc.Known:
			fmt.Fprintf(w, "data centre %-14s unknown: the platform can't be asked (heard of lately: %t)\n", dc.Name, dc.Reachable)
		case dc.InForce >= head:
			fmt.Fprintf(w, "data centre %-14s note %d in force\n", dc.Name, dc.InForce)
		default:
			fmt.Fprintf(w, "data centre %-14s behind: note %d in force, %d wanted (heard of lately: %t)\n", dc.Name, dc.InForce, head, dc.Reachable)
		}
	}
}

func explainCommand() *cobra.Command {
	c := &cobra.Command{Use: "explain", Short: "Explain what became of a request, or the state of an endpoint"}
	c.AddCommand(explainLogCommand())
	c.AddCommand(explain("request ID", "Explain a request by the X-Request-Id of its answer", func(conn *connection, cmd *cobra.Command, arg string) ([]byte, error) {
		return conn.client().ExplainRequest(cmd.Context(), arg)
	}), explain("endpoint NAME", "Show what an instance knows of an endpoint", func(conn *connection, cmd *cobra.Command, arg string) ([]byte, error) {
		return conn.client().ExplainEndpoint(cmd.Context(), arg)
	}))
	return c
}

func explain(use, short string, ask func(*connection, *cobra.Command, string) ([]byte, error)) *cobra.Command {
	var conn connection
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		body, err := ask(&conn, cmd, args[0])
		if err != nil {
			return err
		}
		var v any
		if err := json.Unmarshal(body, &v); err != nil {
			return err
		}
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}}
	conn.bind(c)
	return c
}

func loadCommand() *cobra.Command {
	var o load.Options
	c := &cobra.Command{Use: "load", Short: "Send an open-loop load and print times and refusals", Args: cobra.NoArgs}
	set := settings.New(c.Flags())
	set.URLs(&o.URLs, "entries", "addresses of entry instances")
	set.Secret(&o.Token, "team-token", 1, "team's token")
	set.Required(&o.Service, "service", "", "model service")
	c.Flags().StringVar(&o.Class, "class", "", "request class; empty for the team's default")
	set.Float(&o.Rate, "rate", 10, 0.01, 100000, "requests a second", "arrivals")
	set.Duration(&o.Duration, "duration", 10*time.Second, time.Second, time.Hour, "time of arrivals")
	set.Int(&o.PromptTokens, "prompt-tokens", 500, 1, 1_000_000, "tokens", "length of a prompt")
	set.Float(&o.RepeatShare, "returning", 0, 0, 1, "share", "prompts that were sent before")
	set.Int(&o.RepeatedPrompts, "prompts", 50, 1, 1_000_000, "prompts", "different prompts that return")
	headers := c.Flags().StringToString("header", nil, "headers of every request, NAME=VALUE")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and prompts")
	c.PreRunE = func(*cobra.Command, []string) error { return set.Check() }
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		o.Header = http.Header{}
		for name, value := range *headers {
			o.Header.Set(name, value)
		}
		return load.Run(cmd.Context(), o).Write(cmd.OutOrStdout())
	}
	return c
}

func hashCommand() *cobra.Command {
	return &cobra.Command{
		Use: "hash TOKEN", Short: "Print the hash of a token, as notes and settings hold it", Args: cobra.ExactArgs(1),
		Run: func(cmd *cobra.Command, args []string) { fmt.Fprintln(cmd.OutOrStdout(), serve.HashToken(args[0])) },
	}
}
