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

// measureEnv names the environment variable that enables the measurements.
const measureEnv = "REDWINGKNOT_MEASURE"

func TestMeasureHeartbeats(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ dcs, perDataCentre int }{{1, 8}, {1, 16}, {1, 32}, {1, 64}, {1, 128}, {3, 2}, {3, 14}, {9, 4}, {9, 14}, {9, 42}} {
		synctest.Test(t, func(t *testing.T) { measureHeartbeats(t, size.dcs, size.perDataCentre) })
	}
}

// measureHeartbeats logs the calls, payload bytes and CPU time per instance and
// second, undisturbed and with one restart every 20 s in the whole fleet, and how
// long the other instances take to detect a failure.
func measureHeartbeats(t *testing.T, dcs, perDataCentre int) {
	n := instancetest.NewNetwork()
	n.Delay = time.Millisecond
	var all []*process
	var seeds []string
	for d := range dcs {
		seeds = append(seeds, member(fmt.Sprint("dc", d), 0).Addr)
	}
	for d := range dcs {
		for i := range perDataCentre {
			all = append(all, startProcess(t, t.Context(), n, member(fmt.Sprint("dc", d), i), seeds...))
		}
	}
	time.Sleep(3 * time.Minute)
	undisturbed := measureRates(n, len(all), time.Minute, func() {})
	withRestarts := measureRates(n, len(all), 2*time.Minute, func() {
		for i := range 6 {
			k := (i*7 + 1) % len(all)
			self := all[k].Self()
			all[k].stop()
			<-all[k].done
			self.Incarnation++
			all[k] = startProcess(t, t.Context(), n, self, seeds...)
			time.Sleep(20 * time.Second)
		}
	})
	detection := measureDetection(all, len(all)-1)
	t.Logf("%d data centres of %3d instances: undisturbed %s; with one restart every 20 s %s; failure detected in its data centre after %v, everywhere after %v",
		dcs, perDataCentre, undisturbed, withRestarts, detection[0], detection[1])
	for _, p := range all {
		p.stop()
	}
	for _, p := range all {
		<-p.done
	}
}

// measureRates runs f, waits until d has passed, and returns the mean use of one
// instance in that time.
func measureRates(n *instancetest.Network, instances int, d time.Duration, f func()) string {
	calls, size, cpu := n.Calls.Load(), n.Bytes.Load(), cpuTime()
	start := time.Now()
	f()
	time.Sleep(d - time.Since(start))
	instanceSeconds := float64(instances) * d.Seconds()
	return fmt.Sprintf("%.2f calls/s, %.0f payload bytes/s sent, %.0f us/s CPU",
		float64(n.Calls.Load()-calls)/instanceSeconds, float64(n.Bytes.Load()-size)/instanceSeconds, float64((cpuTime()-cpu).Microseconds())/instanceSeconds)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureDetection stops the instance at index without a leave announcement. It
// returns after what time the last instance of its data centre, and the last of
// all, no longer list it as live; a zero means that this took over two minutes.
func measureDetection(all []*process, index int) [2]time.Duration {
	stopped := all[index].Self()
	all[index].stop()
	<-all[index].done
	start := time.Now()
	var detected [2]time.Duration
	for detected[1] == 0 && time.Since(start) < 2*time.Minute {
		time.Sleep(100 * time.Millisecond)
		localDone, allDone := true, true
		for i, p := range all {
			if i == index || !p.IsAlive(stopped.ID) {
				continue
			}
			allDone = false
			if p.cfg.Self.DataCentre == stopped.DataCentre {
				localDone = false
			}
		}
		if localDone && detected[0] == 0 {
			detected[0] = time.Since(start)
		}
		if allDone {
			detected[1] = time.Since(start)
		}
	}
	return detected
}
