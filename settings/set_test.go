package settings

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
)

type values struct {
	listen, key string
	wait        time.Duration
	slots       int
	urls        []string
}

func newSet() (*pflag.FlagSet, *Set, *values) {
	fs := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s, v := New(fs), &values{}
	s.Address(&v.listen, "listen", "127.0.0.1:80", "address")
	s.Secret(&v.key, "key", 8, "shared key")
	s.Duration(&v.wait, "wait", time.Second, time.Millisecond, time.Minute, "time")
	s.Int(&v.slots, "slots", 4, 1, 10, "requests", "slots")
	s.URLs(&v.urls, "platform", "addresses")
	return fs, s, v
}

func TestCheckListsEveryFaultAndHidesSecrets(t *testing.T) {
	fs, s, _ := newSet()
	assert.NilError(t, fs.Parse([]string{"--listen=localhost", "--key=short", "--wait=2h", "--slots=0", "--platform=ftp://x"}))
	err := s.Check()
	var faults *FaultsError
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults.Faults), 5)
	for _, f := range faults.Faults {
		assert.Assert(t, f.Value != "short")
	}
	assert.ErrorContains(t, err, "--slots (REDWINGKNOT_SLOTS) is \"0\", allowed: 1 to 10 requests")
}

func TestFlagTakesPrecedenceOverEnvironment(t *testing.T) {
	t.Setenv("REDWINGKNOT_SLOTS", "7")
	t.Setenv("REDWINGKNOT_WAIT", "3s")
	t.Setenv("REDWINGKNOT_KEY", "long enough")
	fs, s, v := newSet()
	assert.NilError(t, fs.Parse([]string{"--slots=5", "--platform=http://127.0.0.1:1"}))
	assert.NilError(t, s.Check())
	assert.Equal(t, v.slots, 5)
	assert.Equal(t, v.wait, 3*time.Second)
}

func TestMalformedEnvironmentVariableIsAFault(t *testing.T) {
	t.Setenv("REDWINGKNOT_SLOTS", "many")
	t.Setenv("REDWINGKNOT_KEY", "long enough")
	fs, s, _ := newSet()
	assert.NilError(t, fs.Parse([]string{"--platform=http://127.0.0.1:1"}))
	assert.ErrorContains(t, s.Check(), `"many"`)
}
