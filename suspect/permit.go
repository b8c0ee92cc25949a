package suspect

import (
	"context"

	"redwingknot/suspect/suspectpb"
)

// Permit lets one attempt of a request run. Exactly one of Clean, Crashed and
// End is called when the attempt has ended. It belongs to one goroutine.
type Permit struct {
	Alone   bool     // run on an endpoint that runs nothing else
	Exclude []string // endpoints that it has crashed

	client      *Client
	fingerprint Fingerprint
	run         string // holder of the slot, empty if not alone
}

// EndWithoutCrash ends an attempt that did not crash its endpoint; a suspect that ran
// alone is cleared. It may be called once the answer is well past its first
// token, which frees the slot for the next suspect.
func (p *Permit) EndWithoutCrash(ctx context.Context) {
	if p.Alone {
		f := p.fingerprint
		p.client.tell(ctx, f, methodClean, &suspectpb.CleanRequest{Fingerprint: f[:]}, &suspectpb.CleanResponse{})
	}
	p.EndInconclusive(ctx)
}

// EndWithCrash reports that the endpoint ended while the attempt ran. It returns
// when the homes in this data centre know, so that the next attempt asks after.
func (p *Permit) EndWithCrash(ctx context.Context, crash Crash) {
	ctx = context.WithoutCancel(ctx)
	f := p.fingerprint
	req := &suspectpb.ReportRequest{Fingerprint: f[:], Endpoint: crash.Endpoint, Epoch: crash.Epoch, Alone: p.Alone}
	p.client.tell(ctx, f, methodReport, req, &suspectpb.ReportResponse{})
	p.EndInconclusive(ctx)
}

// EndInconclusive ends an attempt that says nothing about its request.
func (p *Permit) EndInconclusive(ctx context.Context) {
	if p.run == "" {
		return
	}
	c := p.client
	req := &suspectpb.ReleaseRequest{DataCentre: c.config.DataCentre, Run: p.run}
	c.call(context.WithoutCancel(ctx), c.slotHome(), methodRelease, req, &suspectpb.ReleaseResponse{})
	p.run = ""
}
