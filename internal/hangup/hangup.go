// Package hangup catches SIGHUP from an early point in the initialisation of a
// process. A process that imports it is not ended by a SIGHUP that arrives while its
// other packages are initialised or its settings are read. The package depends on
// little else, so that it is initialised before most others.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one signal, because signals that arrive together have the effect of
// one.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel of the SIGHUPs received since the start of the process.
// All callers share it; each signal is received by one of them.
func Signals() <-chan os.Signal { return signals }
