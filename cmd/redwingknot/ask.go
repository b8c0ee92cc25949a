package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"redwingknot/load"
	"redwingknot/settings"
)

// caller are the settings of commands that send requests as a team.
type caller struct {
	entries []string
	token   string
	timeout time.Duration
}

func (c *caller) bind(cmd *cobra.Command) *settings.Set {
	set := settings.New(cmd.Flags())
	set.URLs(&c.entries, "entries", "addresses of entry instances")
	set.Secret(&c.token, "team-token", 1, "team's token")
	set.Duration(&c.timeout, "timeout", time.Minute, time.Millisecond, time.Hour, "time for the whole answer")
	cmd.PreRunE = func(*cobra.Command, []string) error { return set.Check() }
	return set
}

// askCommand sends one prompt and prints the answer and its times.
func askCommand() *cobra.Command {
	var c caller
	var o load.Prompt
	var file string
	cmd := &cobra.Command{Use: "ask", Short: "Send one prompt and print the answer and its times", Args: cobra.NoArgs}
	set := c.bind(cmd)
	set.Required(&o.Service, "service", "", "model service")
	cmd.Flags().StringVar(&o.Class, "class", "", "request class; empty for the team's default")
	cmd.Flags().StringVar(&o.Text, "prompt", "", "text of the prompt")
	cmd.Flags().StringVar(&file, "prompt-file", "", "file with the text of the prompt")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := readPrompt(&o.Text, file); err != nil {
			return err
		}
		a, err := load.SendPrompt(cmd.Context(), &http.Client{Timeout: c.timeout}, c.entries[0], c.token, o)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "request %s\nfirst token after %.1f ms, whole answer after %.1f ms, %d tokens\n%s\n",
			a.RequestID, milliseconds(a.FirstToken), milliseconds(a.Elapsed), a.Tokens, a.Text)
		return nil
	}
	return cmd
}

func readPrompt(text *string, file string) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "prompt")
	}
	*text = string(raw)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// callCommand makes one call of a plain service.
func callCommand() *cobra.Command {
	var c caller
	var key, body string
	cmd := &cobra.Command{
		Use: "call METHOD /svc/SERVICE/PATH", Short: "Make one call of a plain service", Args: cobra.ExactArgs(2),
	}
	c.bind(cmd)
	cmd.Flags().StringVar(&key, "key", "", "idempotency key, a UUID of version 7; \"new\" makes one")
	cmd.Flags().StringVar(&body, "body", "", "body of the call")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if key == "new" {
			key = uuid.Must(uuid.NewV7()).String()
		}
		req, err := http.NewRequestWithContext(cmd.Context(), args[0], c.entries[0]+args[1], strings.NewReader(body))
		if err != nil {
			return errors.Wrap(err, "call")
		}
		req.Header.Set("Authorization", "Bearer "+c.token)
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		return send(cmd.OutOrStdout(), &http.Client{Timeout: c.timeout}, req)
	}
	return cmd
}

// send prints the answer to req; a status of 400 and above is an error.
func send(w io.Writer, client *http.Client, req *http.Request) error {
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	fmt.Fprintf(w, "%d ", resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		return errors.Wrap(err, "answer")
	}
	fmt.Fprintln(w)
	if resp.StatusCode >= http.StatusBadRequest {
		return &load.RefusedError{Status: resp.StatusCode}
	}
	return nil
}

// keyCommand prints a fresh idempotency key.
func keyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Print a fresh idempotency key", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), uuid.Must(uuid.NewV7()))
		},
	}
}
