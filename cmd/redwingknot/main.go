// Command redwingknot is the operators' command line.
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

// exitFailure is the exit code of a command that did not succeed.
const exitFailure = 1

// clientTimeout bounds one call to an instance.
const clientTimeout = 15 * time.Second

// connection are the settings of commands that talk to a deployment.
type connection struct {
	entries []string
	token   string
}

// bind adds the connection's flags to cmd and checks them before it runs.
func (c *connection) bind(cmd *cobra.Command) {
	set := settings.New(cmd.Flags())
	set.URLs(&c.entries, "entries", "addresses of entry instances")
	set.Secret(&c.token, "operator-token", 1, "operators' token")
	cmd.PreRunE = func(*cobra.Command, []string) error { return set.Check() }
}

func (c *connection) client() *operator.Client {
	return &operator.Client{URLs: c.entries, Token: c.token, HTTP: &http.Client{Timeout: clientTimeout}}
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
