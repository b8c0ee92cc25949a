// Command redwingknot is the command line client for operators of a deployment.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"redwingknot/operator"
	"redwingknot/settings"
)

// exitFailure is the exit code after an error other than invalid settings, which
// exit with settings.ExitCode.
const exitFailure = 1

// clientTimeout limits the duration of one call to an instance.
const clientTimeout = 15 * time.Second

// operatorFlags are the common flags of the commands that call a deployment as
// an operator.
type operatorFlags struct {
	entries []string
	token   string
}

// bind adds the flags to cmd, which checks them before it runs.
func (f *operatorFlags) bind(cmd *cobra.Command) {
	set := settings.New(cmd.Flags())
	set.URLs(&f.entries, "entries", "addresses of entry instances")
	set.Secret(&f.token, "operator-token", 1, "the operators' token")
	cmd.PreRunE = func(*cobra.Command, []string) error { return set.Check() }
}

// client returns a client with the flags' values.
func (f *operatorFlags) client() *operator.Client {
	return &operator.Client{URLs: f.entries, Token: f.token, HTTP: &http.Client{Timeout: clientTimeout}}
}

func main() {
	root := &cobra.Command{
		Use: "redwingknot", Short: "Operate a redwingknot deployment",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(noteCommand(), statusCommand(), explainCommand(), loadCommand(), askCommand(), callCommand(), keyCommand(), hashCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var faults *settings.FaultsError
		if errors.As(err, &faults) {
			os.Exit(settings.ExitCode)
		}
		os.Exit(exitFailure)
	}
}
