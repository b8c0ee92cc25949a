package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestRecordsExpireAndOwnOnesAreNumbered(t *testing.T) {
	now := start
	r := NewRegistry(func() time.Time { return now })
	v := NewVersion("s", "v1")
	for n := range 3 {
		r.Begin(Record{Stream: NewStream("team", fmt.Sprint(n)), Version: v, Expires: start.Add(time.Duration(n+1) * time.Second)})
	}
	r.Merge([]Record{{Stream: 7, Version: v, Expires: start.Add(time.Minute)}})
	records, through := r.Own(0, 2)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, through, uint64(2))
	records, through = r.Own(through, 2)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, through, uint64(3))
	assert.Equal(t, len(r.All(10)), 4)
	now = start.Add(1500 * time.Millisecond)
	_, known := r.Version(NewStream("team", "0"))
	assert.Check(t, !known)
	got, known := r.Version(NewStream("team", "1"))
	assert.Check(t, known && got == v)
	_, known = r.Version(NewStream("other", "1"))
	assert.Check(t, !known)
	assert.Equal(t, len(r.All(10)), 3)
	_, through = r.Own(99, 2)
	assert.Equal(t, through, uint64(3))
}

func TestRegistryIsBounded(t *testing.T) {
	r := NewRegistry(func() time.Time { return start })
	for n := range maxRecords + 10 {
		r.Begin(Record{Stream: Stream(n + 1), Version: 1, Expires: start.Add(time.Hour)})
	}
	assert.Equal(t, len(r.records), maxRecords)
	assert.Equal(t, len(r.own), maxRecords)
	_, known := r.Version(1)
	assert.Check(t, !known, "the oldest record stays")
	_, through := r.Own(0, 1)
	assert.Equal(t, through, uint64(11))
}

func TestOnlyVersionOfService(t *testing.T) {
	const lifetime = 10 * time.Second
	v1, v2 := NewVersion("s", "v1"), NewVersion("s", "v2")
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	only := func(h *History, seconds int) Version {
		v, _ := h.Only("s", at(seconds).Add(-lifetime))
		return v
	}
	h := NewHistory()
	assert.Equal(t, only(h, 0), Version(0))
	h.Observe("s", []Version{v1}, at(0))
	assert.Equal(t, only(h, 5), Version(0), "not observed for long enough")
	h.Observe("s", []Version{v1}, at(15))
	assert.Equal(t, only(h, 15), v1)
	h.Observe("s", []Version{v1, v2}, at(20))
	assert.Equal(t, only(h, 20), Version(0), "two versions")
	h.Observe("s", []Version{v2}, at(25))
	assert.Equal(t, only(h, 25), Version(0), "streams of the version that is gone may last")
	h.Observe("s", []Version{v2}, at(31))
	assert.Equal(t, only(h, 31), v2)

	restarted := NewHistory()
	restarted.Observe("s", []Version{v2}, at(31))
	assert.Equal(t, only(restarted, 31), Version(0))
	restarted.Merge(h.Records(at(31)), at(31))
	assert.Equal(t, only(restarted, 31), v2)

	unnamed := NewHistory()
	unnamed.Observe("s", []Version{0, v1}, at(0))
	unnamed.Observe("s", []Version{0, v1}, at(15))
	assert.Equal(t, only(unnamed, 15), Version(0), "an endpoint does not name its version")
}
