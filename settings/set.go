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

// envPrefix begins the name of every environment variable.
const envPrefix = "REDWINGKNOT_"

// ExitCode is the exit code of a process whose settings are at fault.
const ExitCode = 2

// Fault is one setting whose value is not allowed.
type Fault struct {
	Name    string
	Value   string
	Allowed string // range or form, with its unit
}

// FaultsError lists every fault of the settings at once.
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

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Set is a group of settings on a flag set. A flag goes before its environment
// variable, which goes before the default.
type Set struct {
	flags  *pflag.FlagSet
	checks []func() *Fault
}

// New returns a Set whose settings become flags of fs.
func New(fs *pflag.FlagSet) *Set { return &Set{flags: fs} }

// Check reads the environment for flags not given and checks every setting.
// The error is a *FaultsError.
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

// Duration adds a duration between lo and hi.
func (s *Set) Duration(p *time.Duration, name string, def, lo, hi time.Duration, usage string) {
	s.flags.DurationVar(p, name, def, usage)
	s.check(name, func() bool { return *p >= lo && *p <= hi }, fmt.Sprintf("%v to %v", lo, hi))
}

// Int adds an integer between lo and hi, counted in unit.
func (s *Set) Int(p *int, name string, def, lo, hi int, unit, usage string) {
	s.flags.IntVar(p, name, def, usage+" ("+unit+")")
	s.check(name, func() bool { return *p >= lo && *p <= hi }, fmt.Sprintf("%d to %d %s", lo, hi, unit))
}

// Float adds a number between lo and hi, counted in unit.
func (s *Set) Float(p *float64, name string, def, lo, hi float64, unit, usage string) {
	s.flags.Float64Var(p, name, def, usage+" ("+unit+")")
	s.check(name, func() bool { return *p >= lo && *p <= hi }, fmt.Sprintf("%g to %g %s", lo, hi, unit))
}

// Bool adds a switch.
func (s *Set) Bool(p *bool, name string, def bool, usage string) {
	s.flags.BoolVar(p, name, def, usage)
}

// Required adds a text that must not be empty.
func (s *Set) Required(p *string, name, def, usage string) {
	s.flags.StringVar(p, name, def, usage)
	s.check(name, func() bool { return strings.TrimSpace(*p) != "" }, "any text, required")
}

// Secret adds a required text that is never printed.
func (s *Set) Secret(p *string, name string, minBytes int, usage string) {
	s.flags.StringVar(p, name, "", usage)
	s.checks = append(s.checks, func() *Fault {
		if len(*p) >= minBytes {
			return nil
		}
		return &Fault{Name: name, Value: "(hidden)", Allowed: fmt.Sprintf("at least %d bytes", minBytes)}
	})
}

// Address adds an IP address with a port.
func (s *Set) Address(p *string, name, def, usage string) {
	s.flags.StringVar(p, name, def, usage)
	s.check(name, func() bool { return isAddress(*p) }, "IP:port")
}

// Addresses adds a list of IP addresses with ports, which may be empty.
func (s *Set) Addresses(p *[]string, name string, usage string) {
	s.flags.StringSliceVar(p, name, nil, usage)
	s.checks = append(s.checks, s.listCheck(p, name, isAddress, "IP:port, separated by commas"))
}

// URLs adds a list of at least one HTTP address.
func (s *Set) URLs(p *[]string, name string, usage string) {
	s.flags.StringSliceVar(p, name, nil, usage)
	s.checks = append(s.checks, s.listCheck(p, name, isURL, "http://IP:port, separated by commas"))
	s.check(name, func() bool { return len(*p) > 0 }, "at least one address")
}

// OneOf adds a text from a list.
func (s *Set) OneOf(p *string, name, def string, allowed []string, usage string) {
	s.flags.StringVar(p, name, def, usage)
	s.check(name, func() bool { return slices.Contains(allowed, *p) }, "one of "+strings.Join(allowed, ", "))
}

func (s *Set) check(name string, ok func() bool, allowed string) {
	s.checks = append(s.checks, func() *Fault {
		if ok() {
			return nil
		}
		return &Fault{Name: name, Value: s.flags.Lookup(name).Value.String(), Allowed: allowed}
	})
}

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
