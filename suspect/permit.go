package suspect

import (
	"context"

	"redwingknot/suspect/suspectpb"
)

// Permit allows one attempt of a request to run. When the attempt has ended, the
// caller must call exactly one of EndWithoutCrash, EndWithCrash and EndInconclusive.
// A Permit must not be used by several goroutines at once.
type Permit struct {
	Alone   bool     // the attempt must run on an endpoint that runs nothing else
	Exclude []string // endpoints that crashed while the request was in flight

	client      *Client
	fingerprint Fingerprint
	runID       string // run that holds the data centre's slot; empty if the slot is not held
}

// EndWithoutCrash ends an attempt that did not crash its endpoint. A suspect request
// that ran alone is cleared. EndWithoutCrash may be called as soon as the answer is
// well past its first token, to release the slot for the next suspect early.
func (p *Permit) EndWithoutCrash(ctx context.Context) {
	if p.Alone {
		f := p.fingerprint
		p.client.notifyOwners(ctx, f, methodClean, &suspectpb.CleanRequest{Fingerprint: f[:]}, &suspectpb.CleanResponse{})
	}
	p.EndInconclusive(ctx)
}

// EndWithCrash reports that the endpoint's process ended while the attempt ran. It
// returns after the calls to the owners in this data centre have ended, so that
// the next attempt asks owners that know of the crash.
func (p *Permit) EndWithCrash(ctx context.Context, crash Crash) {
	ctx = context.WithoutCancel(ctx)
	f := p.fingerprint
	req := &suspectpb.ReportRequest{Fingerprint: f[:], Endpoint: crash.Endpoint, Epoch: crash.Epoch, Alone: p.Alone}
	p.client.notifyOwners(ctx, f, methodReport, req, &suspectpb.ReportResponse{})
	p.EndInconclusive(ctx)
}

// EndInconclusive ends an attempt that doesn't show whether its request crashes
// endpoints, such as one that was never sent to an endpoint. It releases the slot if
// it is held.
func (p *Permit) EndInconclusive(ctx context.Context) {
	if p.runID == "" {
		return
	}
	c := p.client
	req := &suspectpb.ReleaseRequest{DataCentre: c.config.DataCentre, Run: p.runID}
	c.call(context.WithoutCancel(ctx), c.slotOwner(), methodRelease, req, &suspectpb.ReleaseResponse{})
	p.runID = ""
}
