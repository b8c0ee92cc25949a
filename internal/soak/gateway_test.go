package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateStepLeavesNextProcess guards against a step whose time limit passes as the process that
// it stops exits, and that kills the process which an overlapping step has started since. No step
// starts the gateway again then.
func TestLateStepLeavesNextProcess(t *testing.T) {
	dir := t.TempDir()
	g := &gateway{name: "front-1", binary: filepath.Join(dir, "idle")}
	assert.NilError(t, os.WriteFile(g.binary, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	var err error
	g.logFile, err = os.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	defer g.logFile.Close()

	assert.NilError(t, g.start())
	first, firstExited := g.current()
	assert.NilError(t, first.Kill())
	<-firstExited
	assert.NilError(t, g.start())
	next, nextExited := g.current()
	limit := make(chan time.Time)
	close(limit)
	for range 50 {
		awaitExit(first, firstExited, limit)
	}
	select {
	case <-nextExited:
		t.Error("the next process was killed")
	case <-time.After(100 * time.Millisecond):
		assert.Check(t, next.Kill())
		<-nextExited
	}
}
