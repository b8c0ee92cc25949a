package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestUsualAnswer(t *testing.T) {
	times := newAnswerTimes()
	assert.Equal(t, times.longestUsual("r"), time.Duration(0))
	times.record("r", 3*time.Second)
	assert.Equal(t, times.longestUsual("r"), 3*time.Second, "the only one")
	times.record("other", time.Hour)
	for range answersKept - 4 {
		times.record("r", time.Second)
	}
	for range 3 {
		times.record("r", 2*time.Second)
	}
	assert.Equal(t, times.longestUsual("r"), 2*time.Second, "3 of 64 took as long or longer, and one more")
	times.record("r", time.Second) // replaces the first
	assert.Equal(t, times.longestUsual("r"), time.Second, "3 of 64 took longer")
}
