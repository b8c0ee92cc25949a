package peers

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"redwingknot/metric"
	"redwingknot/origin"
	"redwingknot/peers/peerspb"
	"redwingknot/place"
	"redwingknot/wire"
)

const (
	methodOrigin = "peers.origin"
	// maxOriginsPerReport bounds the size of a report to some 50 KB, which takes 40 ms on a
	// link of 10 Mbit/s.
	maxOriginsPerReport = 4096
	// originHomes is the number of instances of a row that hear of a stream which begins in it,
	// if there are several rows. With one row, all instances do.
	originHomes = 3
	// originLookupTime bounds the questions for the origin of one stream.
	originLookupTime = 150 * time.Millisecond
)

// addOrigins adds to a report that has its stamps the origins of streams of which p has not
// heard, and to a process that has heard nothing of this one all that are known, so that it
// also knows of streams that began at instances which are gone.
func (e *Exchange) addOrigins(r *peerspb.Report, p *peer) {
	if e.opts.Origins == nil || p == nil || p.inColumn {
		return
	}
	saves := e.updateWriter(p)
	acked, hasAll := p.originsKnown(e.process, r.Built.Time)
	builtAt := time.Unix(0, r.Built.Time)
	if !hasAll {
		r.OriginsThrough = e.opts.Origins.OwnCount()
		r.Origins = encodeOrigins(e.opts.Origins.All(maxOriginsPerReport), builtAt)
		r.Software = encodeSoftware(e.opts.Software, builtAt)
		return
	}
	records, through := e.opts.Origins.Own(acked, maxOriginsPerReport)
	r.OriginsAfter, r.OriginsThrough = acked, through
	r.Origins = encodeOrigins(e.forPeer(records, p, saves), builtAt)
}

// originsKnown returns the number of streams that began at this instance of which the peer
// has heard, and whether the peer's process has got all that was known when it started. If
// not, the report of the given process that is built at builtAt has them.
func (p *peer) originsKnown(process uint64, builtAt int64) (acked uint64, hasAll bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.stamp.GetProcess()
	if p.stamp == nil || p.allSentTo != to {
		p.allSentTo, p.allSentAt = to, builtAt
		return 0, false
	}
	return p.originsAcked, p.echo.GetProcess() == process && p.echo.GetTime() >= p.allSentAt
}

// ownRow returns the other instances of the own row, and whether there are several rows.
func (e *Exchange) ownRow() (row []string, several bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.grid.row, len(e.grid.column) > 0
}

// homesOf returns those of a row's instances that hear of a stream, by rendezvous.
func homesOf(s origin.Stream, row []string) []string {
	homes := slices.Clone(row)
	weight := func(name string) uint64 { return place.RendezvousWeight(uint64(s), place.Hash(name)) }
	slices.SortFunc(homes, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return homes[:min(originHomes, len(homes))]
}

// encodeOrigins converts records to their message, nil if there are none.
func encodeOrigins(records []origin.Record, builtAt time.Time) *peerspb.Origins {
	if len(records) == 0 {
		return nil
	}
	out := &peerspb.Origins{}
	for _, rec := range records {
		index := slices.Index(out.Versions, uint64(rec.Version))
		if index < 0 {
			index = len(out.Versions)
			out.Versions = append(out.Versions, uint64(rec.Version))
		}
		out.Streams = append(out.Streams, uint64(rec.Stream))
		out.VersionIndexes = append(out.VersionIndexes, uint32(index))
		out.ExpireMs = append(out.ExpireMs, millisUntil(rec.Expires, builtAt))
	}
	return out
}

// millisUntil returns the time from now until at in ms, 0 if that is past.
func millisUntil(at, now time.Time) uint32 {
	return uint32(min(max(at.Sub(now).Milliseconds(), 0), math.MaxUint32))
}

// decodeOrigins converts a message to records. Entries beyond the end of the shortest list,
// or without a version, are ignored.
func decodeOrigins(in *peerspb.Origins, now time.Time) []origin.Record {
	n := min(len(in.GetStreams()), len(in.GetVersionIndexes()), len(in.GetExpireMs()))
	var records []origin.Record
	for i := range n {
		index := int(in.VersionIndexes[i])
		if index >= len(in.Versions) {
			metric.Counter("peer_origins_invalid_total").Inc(1)
			continue
		}
		records = append(records, origin.Record{
			Stream: origin.Stream(in.Streams[i]), Version: origin.Version(in.Versions[index]), Expires: now.Add(time.Duration(in.ExpireMs[i]) * time.Millisecond),
		})
	}
	return records
}

// encodeSoftware converts what is known about software versions to its messages.
func encodeSoftware(h *origin.History, builtAt time.Time) []*peerspb.Software {
	if h == nil {
		return nil
	}
	var out []*peerspb.Software
	for _, rec := range h.Records(builtAt) {
		s := &peerspb.Software{Service: rec.Service, KnownFor: int64(max(builtAt.Sub(rec.Since), 0))}
		for _, seen := range rec.Seen {
			s.Versions = append(s.Versions, uint64(seen.Version))
			s.SeenAges = append(s.SeenAges, int64(max(builtAt.Sub(seen.At), 0)))
		}
		out = append(out, s)
	}
	return out
}

// applyOrigins records the origins and software versions of another instance's report.
func (e *Exchange) applyOrigins(r *peerspb.Report) {
	if e.opts.Origins == nil {
		return
	}
	now := e.opts.Now()
	e.opts.Origins.Merge(decodeOrigins(r.Origins, now))
	if e.opts.Software == nil || len(r.Software) == 0 {
		return
	}
	var records []origin.ServiceRecord
	for _, s := range r.Software {
		rec := origin.ServiceRecord{Service: s.Service, Since: now.Add(-time.Duration(max(s.KnownFor, 0)))}
		for i := range min(len(s.Versions), len(s.SeenAges)) {
			rec.Seen = append(rec.Seen, origin.Seen{Version: origin.Version(s.Versions[i]), At: now.Add(-time.Duration(max(s.SeenAges[i], 0)))})
		}
		records = append(records, rec)
	}
	e.opts.Software.Merge(records, now)
}

// registerOrigins adds the handler for questions for the origins of streams to a server.
func (e *Exchange) registerOrigins(s *wire.Server) {
	if e.opts.Origins == nil {
		return
	}
	wire.Handle(s, methodOrigin, func(_ context.Context, in *peerspb.OriginRequest) (*peerspb.OriginResponse, error) {
		rec, known := e.opts.Origins.Record(origin.Stream(in.Stream))
		if !known {
			return &peerspb.OriginResponse{}, nil
		}
		return &peerspb.OriginResponse{Version: uint64(rec.Version), ExpireMs: millisUntil(rec.Expires, e.opts.Now())}, nil
	})
}

// LookUpOrigin returns the version at which a stream began, and whether it is known to this
// instance or, with several rows, to one of those that hear of streams in each row. The
// questions end with ctx.
func (e *Exchange) LookUpOrigin(ctx context.Context, s origin.Stream) (origin.Version, bool) {
	if v, known := e.opts.Origins.Version(s); known {
		return v, true
	}
	homes := e.homesInAllRows(s)
	if len(homes) == 0 {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, originLookupTime)
	defer cancel()
	answers := make(chan origin.Record, len(homes))
	for _, name := range homes {
		go func() { answers <- e.askForOrigin(ctx, name, s) }()
	}
	for range homes {
		if rec := <-answers; rec.Version != 0 {
			e.opts.Origins.Merge([]origin.Record{rec})
			return rec.Version, true
		}
	}
	return 0, false
}

// homesInAllRows returns the other instances that hear of a stream if it begins in their
// rows, none if there is only one row.
func (e *Exchange) homesInAllRows(s origin.Stream) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.grid.column) == 0 {
		return nil
	}
	names := []string{e.opts.Self}
	for name := range e.addresses {
		if name != e.opts.Self {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var homes []string
	for _, row := range splitRows(names) {
		homes = append(homes, homesOf(s, row)...)
	}
	return slices.DeleteFunc(homes, func(name string) bool { return name == e.opts.Self })
}

// askForOrigin asks another instance for the origin of a stream. The record has no version if
// it is not known there.
func (e *Exchange) askForOrigin(ctx context.Context, name string, s origin.Stream) origin.Record {
	client := e.Client(name)
	if client == nil {
		return origin.Record{}
	}
	var answer peerspb.OriginResponse
	if err := client.Call(ctx, methodOrigin, &peerspb.OriginRequest{Stream: uint64(s)}, &answer); err != nil {
		metric.Counter("peer_origin_failures_total").Inc(1)
		return origin.Record{}
	}
	return origin.Record{Stream: s, Version: origin.Version(answer.Version), Expires: e.opts.Now().Add(time.Duration(answer.ExpireMs) * time.Millisecond)}
}
