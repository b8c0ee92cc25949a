package entry

import (
	"context"

	"google.golang.org/protobuf/proto"

	"redwingknot/instance"
	"redwingknot/suspect"
	"redwingknot/wire"
)

// remote calls the instance at an address.
type remote struct {
	addr   string
	caller instance.Caller
}

// Call implements wire.Caller.
func (r remote) Call(ctx context.Context, method string, req, resp proto.Message) error {
	return r.caller.Call(ctx, r.addr, method, req, resp)
}

// peers finds the instances to call; calls to the own instance need no
// connection. It is safe for concurrent use.
type peers struct {
	members *instance.Membership
	server  *wire.Server
}

func (p peers) at(addr string) wire.Caller {
	if addr == p.members.Self().Addr {
		return p.server
	}
	return remote{addr: addr, caller: p.members.Caller()}
}

// named returns the live instance of that name in any data centre, nil if there
// is none.
func (p peers) named(id string) wire.Caller {
	for _, m := range p.members.Members() {
		if m.ID == id {
			return p.at(m.Addr)
		}
	}
	return nil
}

// home returns the instance of the own data centre that is home of key.
func (p peers) home(key string) wire.Caller {
	m := p.members.OwnerOf(key)
	if m.Addr == "" {
		return nil
	}
	return p.at(m.Addr)
}

// local returns the live instances of the own data centre.
func (p peers) local() []instance.Member { return p.members.MembersIn(p.members.Self().DataCentre) }

// localIDs returns the names of the live instances of the own data centre.
func (p peers) localIDs() []string { return ids(p.local()) }

func ids(members []instance.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.ID
	}
	return names
}

// suspects returns all live instances as homes of suspects.
func (p peers) suspects() []suspect.Member {
	members := p.members.Members()
	list := make([]suspect.Member, len(members))
	for i, m := range members {
		list[i] = suspect.Member{Instance: m.ID, DataCentre: m.DataCentre, Addr: m.Addr}
	}
	return list
}
