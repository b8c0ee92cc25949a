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

// metricPrefix begins the names of the system's series.
const metricPrefix = "redwingknot_"

// getCommand prints what a URL answers; scripts read the stand-ins with it.
func getCommand() *cobra.Command {
	return &cobra.Command{Use: "get URL", Short: "Print what a URL answers", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		resp, err := http.Get(args[0])
		if err != nil {
			return errors.Wrap(err, "get")
		}
		defer resp.Body.Close()
		_, err = io.Copy(cmd.OutOrStdout(), resp.Body)
		return errors.Wrap(err, "get")
	}}
}

// postCommand posts an empty body; scripts control the stand-ins with it.
func postCommand() *cobra.Command {
	return &cobra.Command{Use: "post URL", Short: "Post an empty body", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		resp, err := http.Post(args[0], "", nil)
		if err != nil {
			return errors.Wrap(err, "post")
		}
		return resp.Body.Close()
	}}
}

// metricCommand prints the value of one series of an entry instance, 0 if there
// is none yet.
func metricCommand() *cobra.Command {
	return &cobra.Command{Use: "metric URL NAME", Short: "Print one series of an entry instance", Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
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
