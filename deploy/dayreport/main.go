// Command dayreport reads reports of days that the users' benchmark ran and lists
// what lost score, the largest losses first: by component of the score (worth),
// price, request class, zone and time window, and by how the last attempt ended for
// requests that were not served.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

func main() {
	maxRows := 0
	cmd := &cobra.Command{
		Use: "dayreport FILE...", Short: "List the largest losses of score in reports of days", Args: cobra.MinimumNArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				if err := printFile(cmd.OutOrStdout(), path, maxRows); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&maxRows, "most", 6, "maximum number of rows in each table")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// printFile reads the report at path and prints its tables to out.
func printFile(out io.Writer, path string, maxRows int) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var d DayReport
	if err := json.Unmarshal(data, &d); err != nil {
		return errors.Wrapf(err, "%s is not a valid report of a day", path)
	}
	fmt.Fprintf(out, "%s\n", path)
	for _, t := range d.Losses() {
		t.write(out, maxRows)
	}
	return nil
}
