package kvs

import (
	"encoding/json"
	"net/http"
	"time"

	"redwingknot/metastore"
)

// errorResponse is the body of an error answer, as etcd's JSON gateway sends it.
type errorResponse struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

type responseHeader struct {
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
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs,omitempty"`
	More   bool           `json:"more,omitempty"`
	Count  int64          `json:"count,string,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type deleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteRangeResponse struct {
	Header  responseHeader `json:"header"`
	Deleted int64          `json:"deleted,string,omitempty"`
}

// comparison is the condition of a transaction. Target chooses the revision that
// is compared.
type comparison struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
}

// operation is a write or a removal of a transaction. One of its fields is set.
type operation struct {
	Put         *putRequest         `json:"request_put"`
	DeleteRange *deleteRangeRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []comparison `json:"compare"`
	Success []operation  `json:"success"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
}

// leaseMessage is the request of every lease call and the answer to a grant or a
// keepalive.
type leaseMessage struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"` // seconds
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
	Header   responseHeader `json:"header"`
	Created  bool           `json:"created,omitempty"`
	Canceled bool           `json:"canceled,omitempty"`
	Events   []watchEvent   `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

// exclusiveEnd returns the exclusive end of a range of keys. An empty rangeEnd
// makes the range the key alone.
func exclusiveEnd(key, rangeEnd []byte) string {
	if len(rangeEnd) == 0 {
		return string(key) + "\x00"
	}
	return string(rangeEnd)
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	if !decodeBody(w, r, &req) {
		return
	}
	found, total, rev := s.store.Range(string(req.Key), exclusiveEnd(req.Key, req.RangeEnd), req.Limit)
	res := rangeResponse{Header: responseHeader{rev}, Count: int64(total), More: total > len(found)}
	for _, e := range found {
		res.Kvs = append(res.Kvs, newKeyValue(e))
	}
	writeJSON(w, res)
}

func newKeyValue(e metastore.Entry) keyValue {
	return keyValue{
		Key:            []byte(e.Key),
		CreateRevision: e.CreateRevision,
		ModRevision:    e.ModRevision,
		Value:          e.Value,
		Lease:          int64(e.Lease),
	}
}

// serveTxn carries out a transaction that has one condition and one operation on
// the same key. It refuses a transaction with other numbers of them.
func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if !decodeBody(w, r, &req) {
		return
	}
	if len(req.Compare) != 1 || len(req.Success) != 1 {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "only one condition and one operation are supported")
		return
	}
	rev, err := s.applyTxn(req.Compare[0], req.Success[0])
	switch {
	case err == nil:
		writeJSON(w, txnResponse{Header: responseHeader{rev}, Succeeded: true})
	case metastore.IsCause(err, metastore.CauseExists), metastore.IsCause(err, metastore.CauseConflict):
		writeJSON(w, txnResponse{Header: responseHeader{s.store.Revision()}})
	default:
		writeStoreError(w, err)
	}
}

// applyTxn carries out op if cond holds. It returns the revision of a put, or the
// store's revision before a delete. It supports a put of a key that must not
// exist, and a put or delete of a key at a modification revision.
func (s *Server) applyTxn(cond comparison, op operation) (int64, error) {
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
	var req deleteRangeRequest
	if !decodeBody(w, r, &req) {
		return
	}
	n := s.store.DeleteRange(string(req.Key), exclusiveEnd(req.Key, req.RangeEnd))
	writeJSON(w, deleteRangeResponse{Header: responseHeader{s.store.Revision()}, Deleted: int64(n)})
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decodeBody(w, r, &req) {
		return
	}
	id, err := s.store.Grant(time.Duration(req.TTL) * time.Second)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, leaseMessage{ID: int64(id), TTL: req.TTL})
}

// serveKeepAlive extends a lease. For an expired lease it answers with a TTL of 0,
// as etcd does.
func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decodeBody(w, r, &req) {
		return
	}
	ttl, err := s.store.KeepAlive(metastore.LeaseID(req.ID))
	if err != nil {
		ttl = 0
	}
	writeJSON(w, keepAliveResponse{Result: leaseMessage{ID: req.ID, TTL: int64(ttl / time.Second)}})
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decodeBody(w, r, &req) {
		return
	}
	if err := s.store.Revoke(metastore.LeaseID(req.ID)); err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// serveWatch streams the changes of a range of keys from a revision on. If the
// watch can't start, its only answer says that it is canceled.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if !decodeBody(w, r, &req) {
		return
	}
	from, to := string(req.Create.Key), exclusiveEnd(req.Create.Key, req.Create.RangeEnd)
	changes, err := s.store.Watch(r.Context(), from, to, req.Create.StartRevision-1)
	if err != nil {
		writeJSON(w, watchResponse{Result: watchResult{Canceled: true}})
		return
	}
	s.updateCalls(func(c *Calls) { c.Watches++ })
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	if encoder.Encode(watchResponse{Result: watchResult{Header: responseHeader{s.store.Revision()}, Created: true}}) != nil || flush() != nil {
		return
	}
	for change := range changes {
		event := watchEvent{Kv: newKeyValue(change.Entry)}
		if change.Deleted {
			event.Type = "DELETE"
		}
		if encoder.Encode(watchResponse{Result: watchResult{Events: []watchEvent{event}}}) != nil || flush() != nil {
			return
		}
	}
}
