// Command dayreport reads the report of a day that the users' bench played and
// sorts what was lost: by part of the worth, by price, by kind of request, zone
// and time, and by how the last try of a request that was not served ended.
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
	most := 0
	cmd := &cobra.Command{
		Use: "dayreport FILE...", Short: "Sort what a day lost", Args: cobra.MinimumNArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				if err := printFile(cmd.OutOrStdout(), path, most); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&most, "most", 6, "lines of each table")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printFile(out io.Writer, path string, most int) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var d DayReport
	if err := json.Unmarshal(data, &d); err != nil {
		return errors.Wrapf(err, "%s is no report of a day", path)
	}
	fmt.Fprintf(out, "%s\n", path)
	for _, t := range d.Losses() {
		t.print(out, most)
	}
	return nil
}
