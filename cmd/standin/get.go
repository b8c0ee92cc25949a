package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// metricPrefix is the prefix of the names of redwingknot's metrics.
const metricPrefix = "redwingknot_"

// getCommand returns the command that prints the body that a URL returns. Scripts
// use it to read the state of stand-ins.
func getCommand() *cobra.Command {
	return &cobra.Command{Use: "get URL", Short: "Print the body that a URL returns", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		resp, err := http.Get(args[0])
		if err != nil {
			return errors.Wrap(err, "get")
		}
		defer resp.Body.Close()
		_, err = io.Copy(cmd.OutOrStdout(), resp.Body)
		return errors.Wrap(err, "get")
	}}
}

// postCommand returns the command that posts an empty body. Scripts use it to
// control stand-ins.
func postCommand() *cobra.Command {
	return &cobra.Command{Use: "post URL", Short: "Post an empty body", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		resp, err := http.Post(args[0], "", nil)
		if err != nil {
			return errors.Wrap(err, "post")
		}
		return resp.Body.Close()
	}}
}

// metricCommand returns the command that prints the value of one metric of an
// entry instance, or 0 if the instance doesn't have the metric yet.
func metricCommand() *cobra.Command {
	return &cobra.Command{Use: "metric URL NAME", Short: "Print the value of one metric of an entry instance", Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
		resp, err := http.Get(args[0] + "/metrics")
		if err != nil {
			return errors.Wrap(err, "metrics")
		}
		defer resp.Body.Close()
		value := "0"
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			if v, ok := strings.CutPrefix(lines.Text(), metricPrefix+args[1]+" "); ok {
				value = v
			}
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), value)
		return err
	}}
}
