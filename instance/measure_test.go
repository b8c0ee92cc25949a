package instance

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"redwingknot/instance/instancetest"
)

// measureEnv prints tables of measurements.
const measureEnv = "REDWINGKNOT_MEASURE"

func TestMeasureHeartbeats(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ dcs, each int }{{1, 8}, {1, 16}, {1, 32}, {1, 64}, {1, 128}, {3, 2}, {3, 14}, {9, 4}, {9, 14}, {9, 42}} {
		synctest.Test(t, func(t *testing.T) { measureHeartbeats(t, size.dcs, size.each) })
	}
}

// measureHeartbeats prints the calls and payload bytes an instance sends and
// answers in a second, undisturbed and with one restart in 20 s of the fleet,
// and how long others take to know of a failure.
func measureHeartbeats(t *testing.T, dcs, each int) {
	n := instancetest.NewNetwork()
	n.Delay = time.Millisecond
	var all []*process
	var seeds []string
	for d := range dcs {
		seeds = append(seeds, member(fmt.Sprint("dc", d), 0).Addr)
	}
	for d := range dcs {
		for i := range each {
			all = append(all, start(t, t.Context(), n, member(fmt.Sprint("dc", d), i), seeds...))
		}
	}
	time.Sleep(3 * time.Minute)
	quiet := rates(n, len(all), time.Minute, func() {})
	churn := rates(n, len(all), 2*time.Minute, func() {
		for i := range 6 {
			k := (i*7 + 1) % len(all)
			self := all[k].Self()
			all[k].stop()
			<-all[k].done
			self.Incarnation++
			all[k] = start(t, t.Context(), n, self, seeds...)
			time.Sleep(20 * time.Second)
		}
	})
	lost := detect(all, len(all)-1)
	t.Logf("%d x %3d: quiet %s; one restart in 20 s %s; failure known in own data centre after %v, everywhere %v",
		dcs, each, quiet, churn, lost[0], lost[1])
	for _, p := range all {
		p.stop()
	}
	for _, p := range all {
		<-p.done
	}
}

// rates returns the mean use of one instance while f and the rest of d run.
func rates(n *instancetest.Network, instances int, d time.Duration, f func()) string {
	calls, size, cpu := n.Calls.Load(), n.Bytes.Load(), cpuTime()
	start := time.Now()
	f()
	time.Sleep(d - time.Since(start))
	per := float64(instances) * d.Seconds()
	return fmt.Sprintf("%.2f calls/s %.0f payload bytes/s sent %.0f us/s cpu",
		float64(n.Calls.Load()-calls)/per, float64(n.Bytes.Load()-size)/per, float64((cpuTime()-cpu).Microseconds())/per)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// detect stops an instance without a farewell and returns when the last of its
// data centre and the last of all hold it for failed.
func detect(all []*process, k int) [2]time.Duration {
	gone := all[k].Self()
	all[k].stop()
	<-all[k].done
	start := time.Now()
	var known [2]time.Duration
	for known[1] == 0 && time.Since(start) < 2*time.Minute {
		time.Sleep(100 * time.Millisecond)
		local, remote := true, true
		for i, p := range all {
			if i == k || !p.IsAlive(gone.ID) {
				continue
			}
			remote = false
			if p.cfg.Self.DataCentre == gone.DataCentre {
				local = false
			}
		}
		if local && known[0] == 0 {
			known[0] = time.Since(start)
		}
		if remote {
			known[1] = time.Since(start)
		}
	}
	return known
}
