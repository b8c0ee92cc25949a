package main

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"redwingknot/story"
)

// explainLogCommand tells from log files what became of a request.
func explainLogCommand() *cobra.Command {
	return &cobra.Command{
		Use: "log ID FILE...", Short: "Tell from the instances' log files what became of a request",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []story.Line
			for _, path := range args[1:] {
				found, err := readStory(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return &unknownRequestError{ID: args[0]}
			}
			return story.Print(cmd.OutOrStdout(), lines)
		},
	}
}

func readStory(path, request string) ([]story.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	defer f.Close()
	lines, err := story.Find(filepath.Base(path), f, request)
	return lines, errors.Wrapf(err, "read %s", path)
}

// unknownRequestError reports that no log file names a request.
type unknownRequestError struct{ ID string }

// Error implements error.
func (e *unknownRequestError) Error() string { return "no log file names the request " + e.ID }
