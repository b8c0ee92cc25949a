package entry

import (
	"context"

	"google.golang.org/protobuf/proto"

	"redwingknot/instance"
	"redwingknot/suspect"
	"redwingknot/wire"
)

// remoteCaller is a wire.Caller for the instance at an address.
type remoteCaller struct {
	addr   string
	caller instance.Caller
}

// Call implements wire.Caller.
func (r remoteCaller) Call(ctx context.Context, method string, req, resp proto.Message) error {
	return r.caller.Call(ctx, r.addr, method, req, resp)
}

// peers returns the callers of instances. Calls to this instance itself go directly to
// its server, without a connection. It is safe for concurrent use.
type peers struct {
	members *instance.Membership
	server  *wire.Server
}

// callerAt returns the caller of the instance at an address.
func (p peers) callerAt(addr string) wire.Caller {
	if addr == p.members.Self().Addr {
		return p.server
	}
	return remoteCaller{addr: addr, caller: p.members.Caller()}
}

// callerOf returns the caller of the live instance with the given identifier in any data
// centre, or nil if there is none.
func (p peers) callerOf(id string) wire.Caller {
	for _, m := range p.members.Members() {
		if m.ID == id {
			return p.callerAt(m.Addr)
		}
	}
	return nil
}

// callerOfOwner returns the caller of the instance in this data centre that owns key, or
// nil if there is none.
func (p peers) callerOfOwner(key string) wire.Caller {
	m := p.members.OwnerOf(key)
	if m.Addr == "" {
		return nil
	}
	return p.callerAt(m.Addr)
}

// local returns the live instances of this data centre that are not leaving.
func (p peers) local() []instance.Member { return p.members.MembersIn(p.members.Self().DataCentre) }

// localMemberIDs returns the identifiers of the instances that local returns.
func (p peers) localMemberIDs() []string { return memberIDs(p.local()) }

// memberIDs returns the identifiers of members.
func memberIDs(members []instance.Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.ID
	}
	return list
}

// suspectMembers returns all live instances. For each suspect request, one of them is
// chosen to keep its record.
func (p peers) suspectMembers() []suspect.Member {
	members := p.members.Members()
	list := make([]suspect.Member, len(members))
	for i, m := range members {
		list[i] = suspect.Member{Instance: m.ID, DataCentre: m.DataCentre, Addr: m.Addr}
	}
	return list
}
