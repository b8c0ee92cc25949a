package origin

import (
	"context"
	"time"
)

// Local is what one instance knows, by itself and from what others have sent.
type Local struct {
	*Registry
	*History
}

// NewLocal returns a Local that knows nothing.
func NewLocal(now func() time.Time) Local {
	return Local{Registry: NewRegistry(now), History: NewHistory()}
}

// LookUp returns the version that began a stream, and whether it is known.
func (l Local) LookUp(_ context.Context, s Stream) (Version, bool) { return l.Version(s) }

// MayBegin returns the listed versions at which resumable streams may begin: all, because
// nothing is shared.
func (l Local) MayBegin(_ string, listed []Version) []Version { return listed }

// Sole returns the only version that the endpoints of a service have had from the given time
// on, and whether that is known. No other instance begins streams.
func (l Local) Sole(_ context.Context, service string, since time.Time) (Version, bool) {
	return l.Only(service, since)
}
