package main

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"redwingknot/requestlog"
)

// explainLogCommand returns the command that prints the log lines of one request
// from the log files of several instances.
func explainLogCommand() *cobra.Command {
	return &cobra.Command{
		Use: "log ID FILE...", Short: "Show how a request was handled, from the instances' log files",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []requestlog.Line
			for _, path := range args[1:] {
				found, err := findLogLines(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return &requestNotFoundError{ID: args[0]}
			}
			return requestlog.Print(cmd.OutOrStdout(), lines)
		},
	}
}

// findLogLines returns the lines about a request from the log file at path.
func findLogLines(path, request string) ([]requestlog.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	defer f.Close()
	lines, err := requestlog.FindLines(filepath.Base(path), f, request)
	return lines, errors.Wrapf(err, "read %s", path)
}

// requestNotFoundError reports that none of the log files has a line about the
// request ID.
type requestNotFoundError struct{ ID string }

// Error implements error.
func (e *requestNotFoundError) Error() string { return "no log file mentions request " + e.ID }
