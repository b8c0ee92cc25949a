package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"redwingknot/note"
)

func noteCommand() *cobra.Command {
	c := &cobra.Command{Use: "note", Short: "Check, submit, show or wait for a release note"}
	c.AddCommand(noteCheck(), noteSubmit(), noteShow(), noteWait())
	return c
}

// noteCheck checks notes offline, each on top of those before it, as the
// deployment will.
func noteCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check notes offline, in order", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			state := note.NewState()
			for _, f := range files {
				raw, err := os.ReadFile(f)
				if err != nil {
					return errors.Wrap(err, "note")
				}
				if state, err = applyNote(state, raw); err != nil {
					return errors.Wrap(err, f)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", f)
			}
			return nil
		},
	}
}

func applyNote(s *note.State, raw []byte) (*note.State, error) {
	n, err := note.Parse(raw)
	if err != nil {
		return nil, err
	}
	return s.Apply(n)
}

func noteSubmit() *cobra.Command {
	var conn connection
	var base int64
	c := &cobra.Command{
		Use: "submit FILE", Short: "Submit a note against the head that you have seen", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "note")
			}
			head, err := submit(cmd.Context(), &conn, base, raw)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted as note %d\n", head)
			return nil
		},
	}
	conn.bind(c)
	c.Flags().Int64Var(&base, "base", -1, "head that the note was written against; -1 for the present one")
	return c
}

func submit(ctx context.Context, conn *connection, base int64, raw []byte) (uint64, error) {
	if base < 0 {
		s, err := conn.client().Status(ctx)
		if err != nil {
			return 0, err
		}
		base = int64(s.Head)
	}
	return conn.client().SubmitNote(ctx, uint64(base), raw)
}

func noteShow() *cobra.Command {
	var conn connection
	c := &cobra.Command{
		Use: "show NUMBER", Short: "Show an accepted note", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := conn.client().Note(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(raw)
			return err
		},
	}
	conn.bind(c)
	return c
}

func noteWait() *cobra.Command {
	var conn connection
	var timeout time.Duration
	c := &cobra.Command{
		Use: "wait NUMBER", Short: "Wait until a note is in force in every data centre", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			head, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return errors.Wrap(err, "number")
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			s, err := conn.client().WaitInForce(ctx, head)
			printDataCentres(cmd.OutOrStdout(), s, head)
			return err
		},
	}
	conn.bind(c)
	c.Flags().DurationVar(&timeout, "timeout", time.Minute, "time to wait")
	return c
}
