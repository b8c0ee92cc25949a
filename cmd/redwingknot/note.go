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

// noteCommand returns the command whose subcommands handle release notes.
func noteCommand() *cobra.Command {
	c := &cobra.Command{Use: "note", Short: "Check, submit, show or wait for a release note"}
	c.AddCommand(noteCheckCommand(), noteSubmitCommand(), noteShowCommand(), noteWaitCommand())
	return c
}

// noteCheckCommand returns the command that checks notes without a deployment. It
// applies them in order, starting from an empty state, as the deployment will.
func noteCheckCommand() *cobra.Command {
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

// applyNote parses raw and returns the state after the note is applied to s.
func applyNote(s *note.State, raw []byte) (*note.State, error) {
	n, err := note.Parse(raw)
	if err != nil {
		return nil, err
	}
	return s.Apply(n)
}

// noteSubmitCommand returns the command that submits a note.
func noteSubmitCommand() *cobra.Command {
	var flags operatorFlags
	var base int64
	c := &cobra.Command{
		Use: "submit FILE", Short: "Submit a note that was written after a given note", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "note")
			}
			number, err := submitNote(cmd.Context(), &flags, base, raw)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted as note %d\n", number)
			return nil
		},
	}
	flags.bind(c)
	c.Flags().Int64Var(&base, "base", -1, "number of the last note in force when the note was written; -1 for the current one")
	return c
}

// submitNote submits a note and returns its number. base is the number of the last
// note in force when the note was written; a negative base stands for the current
// one.
func submitNote(ctx context.Context, flags *operatorFlags, base int64, raw []byte) (uint64, error) {
	if base < 0 {
		s, err := flags.client().Status(ctx)
		if err != nil {
			return 0, err
		}
		base = int64(s.Head)
	}
	return flags.client().SubmitNote(ctx, uint64(base), raw)
}

// noteShowCommand returns the command that prints an accepted note.
func noteShowCommand() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: "show NUMBER", Short: "Show an accepted note", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := flags.client().Note(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(raw)
			return err
		},
	}
	flags.bind(c)
	return c
}

// noteWaitCommand returns the command that waits until a note is in force in
// every data centre.
func noteWaitCommand() *cobra.Command {
	var flags operatorFlags
	var timeout time.Duration
	c := &cobra.Command{
		Use: "wait NUMBER", Short: "Wait until a note is in force in every data centre", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return errors.Wrap(err, "number")
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			s, err := flags.client().WaitInForce(ctx, number)
			printDataCentres(cmd.OutOrStdout(), s, number)
			return err
		},
	}
	flags.bind(c)
	c.Flags().DurationVar(&timeout, "timeout", time.Minute, "maximum time to wait")
	return c
}
