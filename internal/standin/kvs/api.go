package kvs

import (
	"encoding/json"
	"net/http"
	"time"

	"redwingknot/metastore"
)

type failure struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    int    `json:"limit,string"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

type put struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type deleteRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteRangeResponse struct {
	Header  header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

type comparison struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
}

type operation struct {
	Put         *put         `json:"request_put"`
	DeleteRange *deleteRange `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []comparison `json:"compare"`
	Success []operation  `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

type leaseMessage struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type keepAliveResponse struct {
	Result leaseMessage `json:"result"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header   header       `json:"header"`
	Created  bool         `json:"created,omitempty"`
	Canceled bool         `json:"canceled,omitempty"`
	Events   []watchEvent `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

// end returns the exclusive end of a range; none means the key alone.
func end(key, rangeEnd []byte) string {
	if len(rangeEnd) == 0 {
		return string(key) + "\x00"
	}
	return string(rangeEnd)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	if !decode(w, r, &req) {
		return
	}
	found, total, rev := s.store.Range(string(req.Key), end(req.Key, req.RangeEnd), req.Limit)
	res := rangeResponse{Header: header{rev}, Count: int64(total), More: total > len(found)}
	for _, e := range found {
		res.Kvs = append(res.Kvs, encode(e))
	}
	reply(w, res)
}

func encode(e metastore.Entry) keyValue {
	return keyValue{
		Key:            []byte(e.Key),
		CreateRevision: e.CreateRevision,
		ModRevision:    e.ModRevision,
		Value:          e.Value,
		Lease:          int64(e.Lease),
	}
}

// serveTxn carries out the transactions that have one condition and one
// operation on the same key.
func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if !decode(w, r, &req) {
		return
	}
	if len(req.Compare) != 1 || len(req.Success) != 1 {
		fail(w, http.StatusBadRequest, codeInvalidArgument, "only one condition and one operation are supported")
		return
	}
	rev, err := s.do(req.Compare[0], req.Success[0])
	switch {
	case err == nil:
		reply(w, txnResponse{Header: header{rev}, Succeeded: true})
	case metastore.IsCause(err, metastore.CauseExists), metastore.IsCause(err, metastore.CauseConflict):
		reply(w, txnResponse{Header: header{s.store.Revision()}})
	default:
		refuse(w, err)
	}
}

func (s *Server) do(cond comparison, op operation) (int64, error) {
	key := string(cond.Key)
	switch {
	case op.Put != nil && cond.Target == "CREATE" && cond.CreateRevision == 0:
		return s.store.Create(key, op.Put.Value, metastore.LeaseID(op.Put.Lease))
	case op.Put != nil && cond.Target == "MOD":
		return s.store.Swap(key, op.Put.Value, cond.ModRevision, metastore.LeaseID(op.Put.Lease))
	case op.DeleteRange != nil && cond.Target == "MOD":
		return s.store.Revision(), s.store.Delete(key, cond.ModRevision)
	}
	return 0, &metastore.RefusedError{Op: "txn", Key: key, Cause: metastore.CauseInvalid}
}

func (s *Server) serveDeleteRange(w http.ResponseWriter, r *http.Request) {
	var req deleteRange
	if !decode(w, r, &req) {
		return
	}
	n := s.store.DeleteRange(string(req.Key), end(req.Key, req.RangeEnd))
	reply(w, deleteRangeResponse{Header: header{s.store.Revision()}, Deleted: int64(n)})
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decode(w, r, &req) {
		return
	}
	id, err := s.store.Grant(time.Duration(req.TTL) * time.Second)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, leaseMessage{ID: int64(id), TTL: req.TTL})
}

// serveKeepAlive answers a lapsed lease with no time to live, as etcd does.
func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decode(w, r, &req) {
		return
	}
	ttl, err := s.store.KeepAlive(metastore.LeaseID(req.ID))
	if err != nil {
		ttl = 0
	}
	reply(w, keepAliveResponse{Result: leaseMessage{ID: req.ID, TTL: int64(ttl / time.Second)}})
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decode(w, r, &req) {
		return
	}
	if err := s.store.Revoke(metastore.LeaseID(req.ID)); err != nil {
		refuse(w, err)
		return
	}
	reply(w, struct{}{})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if !decode(w, r, &req) {
		return
	}
	from, to := string(req.Create.Key), end(req.Create.Key, req.Create.RangeEnd)
	changes, err := s.store.Watch(r.Context(), from, to, req.Create.StartRevision-1)
	if err != nil {
		reply(w, watchResponse{Result: watchResult{Canceled: true}})
		return
	}
	s.count(func(c *Calls) { c.Watches++ })
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	if out.Encode(watchResponse{Result: watchResult{Header: header{s.store.Revision()}, Created: true}}) != nil || flush() != nil {
		return
	}
	for c := range changes {
		event := watchEvent{Kv: encode(c.Entry)}
		if c.Deleted {
			event.Type = "DELETE"
		}
		if out.Encode(watchResponse{Result: watchResult{Events: []watchEvent{event}}}) != nil || flush() != nil {
			return
		}
	}
}
