package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/pflag"
)

// envPrefix is the prefix of the names of all environment variables.
const envPrefix = "REDWINGKNOT_"

// ExitCode is the exit code of a process whose settings are invalid.
const ExitCode = 2

// Fault describes a setting whose value is not allowed.
type Fault struct {
	Name    string
	Value   string
	Allowed string // allowed range with its unit, or allowed form
}

// FaultsError reports all faults of the settings together.
type FaultsError struct{ Faults []Fault }

// Error implements error.
func (e *FaultsError) Error() string {
	var b strings.Builder
	b.WriteString("settings at fault:")
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "\n  --%s (%s) is %q, allowed: %s", f.Name, EnvName(f.Name), f.Value, f.Allowed)
	}
	return b.String()
}

// EnvName returns the name of the environment variable that corresponds to a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Set is a group of settings that are flags of a flag set. A flag takes precedence
// over its environment variable, which takes precedence over the default.
type Set struct {
	flags  *pflag.FlagSet
	checks []func() *Fault
}

// New returns a Set that adds its settings to fs as flags.
func New(fs *pflag.FlagSet) *Set { return &Set{flags: fs} }

// Check sets the flags that were not given from the environment and then checks
// every setting. The error is a *FaultsError.
func (s *Set) Check() error {
	var faults []Fault
	s.flags.VisitAll(func(f *pflag.Flag) {
		if fault := readEnv(f); fault != nil {
			faults = append(faults, *fault)
		}
	})
	for _, check := range s.checks {
		if fault := check(); fault != nil {
			faults = append(faults, *fault)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: faults}
}

// readEnv sets f from its environment variable, unless the flag was given.
func readEnv(f *pflag.Flag) *Fault {
	value, ok := os.LookupEnv(EnvName(f.Name))
	if !ok || f.Changed {
		return nil
	}
	if err := f.Value.Set(value); err != nil {
		return &Fault{Name: f.Name, Value: value, Allowed: "a " + f.Value.Type()}
	}
	return nil
}

// Duration adds a setting for a duration from lo to hi inclusive.
func (s *Set) Duration(p *time.Duration, name string, def, lo, hi time.Duration, usage string) {
	s.flags.DurationVar(p, name, def, usage)
	s.check(name, func() bool { return *p >= lo && *p <= hi }, fmt.Sprintf("%v to %v", lo, hi))
}

// Int adds a setting for an integer from lo to hi inclusive, in the given unit.
func (s *Set) Int(p *int, name string, def, lo, hi int, unit, usage string) {
	s.flags.IntVar(p, name, def, usage+" ("+unit+")")
	s.check(name, func() bool { return *p >= lo && *p <= hi }, fmt.Sprintf("%d to %d %s", lo, hi, unit))
}

// Float adds a setting for a number from lo to hi inclusive, in the given unit.
func (s *Set) Float(p *float64, name string, def, lo, hi float64, unit, usage string) {
	s.flags.Float64Var(p, name, def, usage+" ("+unit+")")
	s.check(name, func() bool { return *p >= lo && *p <= hi }, fmt.Sprintf("%g to %g %s", lo, hi, unit))
}

// Bool adds a boolean setting.
func (s *Set) Bool(p *bool, name string, def bool, usage string) {
	s.flags.BoolVar(p, name, def, usage)
}

// Required adds a string setting that must contain more than white space.
func (s *Set) Required(p *string, name, def, usage string) {
	s.flags.StringVar(p, name, def, usage)
	s.check(name, func() bool { return strings.TrimSpace(*p) != "" }, "any text, required")
}

// Secret adds a required string setting of at least minBytes bytes. Its value does
// not appear in faults.
func (s *Set) Secret(p *string, name string, minBytes int, usage string) {
	s.flags.StringVar(p, name, "", usage)
	s.checks = append(s.checks, func() *Fault {
		if len(*p) >= minBytes {
			return nil
		}
		return &Fault{Name: name, Value: "(hidden)", Allowed: fmt.Sprintf("at least %d bytes", minBytes)}
	})
}

// Address adds a setting for an IP address with a port.
func (s *Set) Address(p *string, name, def, usage string) {
	s.flags.StringVar(p, name, def, usage)
	s.check(name, func() bool { return isAddress(*p) }, "IP:port")
}

// Addresses adds a setting for a list of IP addresses with ports. The list may be
// empty.
func (s *Set) Addresses(p *[]string, name string, usage string) {
	s.flags.StringSliceVar(p, name, nil, usage)
	s.checks = append(s.checks, s.listCheck(p, name, isAddress, "IP:port, separated by commas"))
}

// URLs adds a setting for a list of at least one http URL whose host is an IP address
// with a port.
func (s *Set) URLs(p *[]string, name string, usage string) {
	s.flags.StringSliceVar(p, name, nil, usage)
	s.checks = append(s.checks, s.listCheck(p, name, isURL, "http://IP:port, separated by commas"))
	s.check(name, func() bool { return len(*p) > 0 }, "at least one address")
}

// OneOf adds a string setting whose value must be one of allowed.
func (s *Set) OneOf(p *string, name, def string, allowed []string, usage string) {
	s.flags.StringVar(p, name, def, usage)
	s.check(name, func() bool { return slices.Contains(allowed, *p) }, "one of "+strings.Join(allowed, ", "))
}

// check adds a check to Set.Check that reports the named setting unless ok returns
// true.
func (s *Set) check(name string, ok func() bool, allowed string) {
	s.checks = append(s.checks, func() *Fault {
		if ok() {
			return nil
		}
		return &Fault{Name: name, Value: s.flags.Lookup(name).Value.String(), Allowed: allowed}
	})
}

// listCheck returns a check that reports the first element of the named setting for
// which ok returns false.
func (s *Set) listCheck(p *[]string, name string, ok func(string) bool, allowed string) func() *Fault {
	return func() *Fault {
		for _, v := range *p {
			if !ok(v) {
				return &Fault{Name: name, Value: v, Allowed: allowed}
			}
		}
		return nil
	}
}

func isAddress(v string) bool {
	host, _, err := net.SplitHostPort(v)
	return err == nil && net.ParseIP(host) != nil
}

func isURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && u.Scheme == "http" && isAddress(u.Host)
}
