package placement

import (
	"time"

	"redwingknot/placement/placementpb"
	"redwingknot/relay"
)

func encodeRequest(r *relay.PlacementRequest) *placementpb.Request {
	out := &placementpb.Request{
		Service: r.Service, Model: r.Prompt.Model, Session: r.SessionHash, IsolatedTeam: r.IsolatedTeam,
		InputTokens: uint32(r.Prompt.InputTokens), MaxOutputTokens: uint32(r.Prompt.MaxOutputTokens),
		Priority: int32(r.Priority), Target: int64(r.Target), Group: uint32(r.Group), Groups: uint32(r.Groups),
	}
	for _, part := range r.Prompt.Parts {
		out.Parts = append(out.Parts, &placementpb.Part{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	return out
}

func decodeRequest(in *placementpb.Request) *relay.PlacementRequest {
	prompt := &relay.Prompt{Model: in.Model, InputTokens: int(in.InputTokens), MaxOutputTokens: int(in.MaxOutputTokens)}
	for _, part := range in.Parts {
		prompt.Parts = append(prompt.Parts, relay.Part{ID: part.Id, Tokens: int(part.Tokens)})
	}
	return &relay.PlacementRequest{
		Service: in.Service, Prompt: prompt, SessionHash: in.Session, IsolatedTeam: in.IsolatedTeam,
		Priority: int(in.Priority), Target: time.Duration(in.Target), Group: int(in.Group), Groups: int(in.Groups),
	}
}
