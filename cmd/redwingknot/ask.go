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

// teamFlags are the common flags of the commands that send requests as a team.
type teamFlags struct {
	entries []string
	token   string
	timeout time.Duration
}

// bind adds the flags to cmd, which checks them before it runs. The caller may
// add further settings to the set that it returns.
func (f *teamFlags) bind(cmd *cobra.Command) *settings.Set {
	set := settings.New(cmd.Flags())
	set.URLs(&f.entries, "entries", "addresses of entry instances")
	set.Secret(&f.token, "team-token", 1, "the team's token")
	set.Duration(&f.timeout, "timeout", time.Minute, time.Millisecond, time.Hour, "maximum time until the answer is complete")
	cmd.PreRunE = func(*cobra.Command, []string) error { return set.Check() }
	return set
}

// askCommand returns the command that sends one prompt and prints the answer and
// its latencies.
func askCommand() *cobra.Command {
	var flags teamFlags
	var prompt load.Prompt
	var file string
	cmd := &cobra.Command{Use: "ask", Short: "Send one prompt and print the answer and its latencies", Args: cobra.NoArgs}
	set := flags.bind(cmd)
	set.Required(&prompt.Service, "service", "", "model service")
	cmd.Flags().StringVar(&prompt.Class, "class", "", "request class; empty for the team's default")
	cmd.Flags().StringVar(&prompt.Text, "prompt", "", "text of the prompt")
	cmd.Flags().StringVar(&file, "prompt-file", "", "file with the text of the prompt; overrides --prompt")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := readPrompt(&prompt.Text, file); err != nil {
			return err
		}
		answer, err := load.SendPrompt(cmd.Context(), &http.Client{Timeout: flags.timeout}, flags.entries[0], flags.token, prompt)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "request %s\nfirst token after %.1f ms, whole answer after %.1f ms, %d tokens\n%s\n",
			answer.RequestID, milliseconds(answer.FirstToken), milliseconds(answer.Elapsed), answer.Tokens, answer.Text)
		return nil
	}
	return cmd
}

// readPrompt sets text to the content of file. It does nothing if file is empty.
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

// callCommand returns the command that makes one call to a plain service.
func callCommand() *cobra.Command {
	var flags teamFlags
	var key, body string
	cmd := &cobra.Command{
		Use: "call METHOD /svc/SERVICE/PATH", Short: "Make one call to a plain service", Args: cobra.ExactArgs(2),
	}
	flags.bind(cmd)
	cmd.Flags().StringVar(&key, "key", "", "idempotency key, a version 7 UUID; \"new\" generates one")
	cmd.Flags().StringVar(&body, "body", "", "body of the call")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if key == "new" {
			key = uuid.Must(uuid.NewV7()).String()
		}
		req, err := http.NewRequestWithContext(cmd.Context(), args[0], flags.entries[0]+args[1], strings.NewReader(body))
		if err != nil {
			return errors.Wrap(err, "call")
		}
		req.Header.Set("Authorization", "Bearer "+flags.token)
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		return sendAndPrint(cmd.OutOrStdout(), &http.Client{Timeout: flags.timeout}, req)
	}
	return cmd
}

// sendAndPrint sends req and prints the status and body of the answer. A status
// of 400 or above is also returned as a *load.RefusedError.
func sendAndPrint(w io.Writer, client *http.Client, req *http.Request) error {
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

// keyCommand returns the command that prints a new idempotency key.
func keyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Print a new idempotency key", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), uuid.Must(uuid.NewV7()))
		},
	}
}
