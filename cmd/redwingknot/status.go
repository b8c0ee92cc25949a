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

// statusCommand returns the command that prints the deployment's status as one
// instance sees it.
func statusCommand() *cobra.Command {
	var flags operatorFlags
	var asJSON bool
	c := &cobra.Command{
		Use: "status", Short: "Show the instances and the note in force in each data centre", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := flags.client().Status(cmd.Context())
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
	flags.bind(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// printStatus prints s for people to read.
func printStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "seen from %s in %s: head %d, %d notes behind\n", s.Instance, s.DataCentre, s.Head, s.Behind)
	printDataCentres(w, s, s.Head)
	for _, m := range s.Instances {
		fmt.Fprintf(w, "instance %-20s %-14s ready=%t leaving=%t %s\n", m.ID, m.DataCentre, m.Ready, m.Leaving, m.Addr)
	}
}

// printDataCentres prints for each data centre whether the note with the given
// number is in force there. A data centre whose state is not known is printed as
// unknown.
func printDataCentres(w io.Writer, s operator.Status, number uint64) {
	for _, dc := range s.DataCentres {
		switch {
		case !dc.Known:
			fmt.Fprintf(w, "data centre %-14s unknown: the platform's key-value service can't be read (instances heard from recently: %t)\n", dc.Name, dc.Reachable)
		case dc.InForce >= number:
			fmt.Fprintf(w, "data centre %-14s note %d in force\n", dc.Name, dc.InForce)
		default:
			fmt.Fprintf(w, "data centre %-14s behind: note %d in force, %d wanted (instances heard from recently: %t)\n", dc.Name, dc.InForce, number, dc.Reachable)
		}
	}
}

// explainCommand returns the command whose subcommands explain a request or an
// endpoint.
func explainCommand() *cobra.Command {
	c := &cobra.Command{Use: "explain", Short: "Explain how a request was handled or would be, or show the state of an endpoint"}
	c.AddCommand(explainLogCommand(), explainRouteCommand())
	c.AddCommand(newExplainSubcommand("request ID", "Explain a request by the X-Request-Id of its answer", func(flags *operatorFlags, cmd *cobra.Command, arg string) ([]byte, error) {
		return flags.client().ExplainRequest(cmd.Context(), arg)
	}), newExplainSubcommand("endpoint NAME", "Show what an instance knows about an endpoint", func(flags *operatorFlags, cmd *cobra.Command, arg string) ([]byte, error) {
		return flags.client().ExplainEndpoint(cmd.Context(), arg)
	}))
	return c
}

// newExplainSubcommand returns a command that calls fetch with its argument and
// prints the JSON that fetch returns with indentation.
func newExplainSubcommand(use, short string, fetch func(*operatorFlags, *cobra.Command, string) ([]byte, error)) *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		body, err := fetch(&flags, cmd, args[0])
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
	flags.bind(c)
	return c
}

// loadCommand returns the command that generates load and prints a report.
func loadCommand() *cobra.Command {
	var o load.Options
	c := &cobra.Command{Use: "load", Short: "Generate open-loop load and print latencies and refusals", Args: cobra.NoArgs}
	set := settings.New(c.Flags())
	set.URLs(&o.URLs, "entries", "addresses of entry instances")
	set.Secret(&o.Token, "team-token", 1, "the team's token")
	set.Required(&o.Service, "service", "", "model service")
	c.Flags().StringVar(&o.Class, "class", "", "request class; empty for the team's default")
	set.Float(&o.Rate, "rate", 10, 0.01, 100000, "requests a second", "arrivals")
	set.Duration(&o.Duration, "duration", 10*time.Second, time.Second, time.Hour, "time during which requests are started")
	set.Int(&o.PromptTokens, "prompt-tokens", 500, 1, 1_000_000, "tokens", "approximate length of each prompt")
	set.Float(&o.RepeatShare, "returning", 0, 0, 1, "share", "fraction of requests with a prompt from the repeated set")
	set.Int(&o.RepeatedPrompts, "prompts", 50, 1, 1_000_000, "prompts", "size of the set of repeated prompts")
	headers := c.Flags().StringToString("header", nil, "headers to add to every request, NAME=VALUE")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random start times and prompts")
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

// hashCommand returns the command that prints the hash of a token.
func hashCommand() *cobra.Command {
	return &cobra.Command{
		Use: "hash TOKEN", Short: "Print the hash of a token in the form that notes and settings use", Args: cobra.ExactArgs(1),
		Run: func(cmd *cobra.Command, args []string) { fmt.Fprintln(cmd.OutOrStdout(), serve.HashToken(args[0])) },
	}
}
