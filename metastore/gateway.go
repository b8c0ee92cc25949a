package metastore

import "strconv"

// This file declares the messages of the JSON gateway of the etcd v3 API, which
// encodes bytes in base64 and 64-bit integers as decimal strings.

// int64String is a 64-bit integer that is encoded in JSON as a string.
type int64String int64

// MarshalJSON implements json.Marshaler.
func (i int64String) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler. It accepts strings and numbers.
func (i *int64String) UnmarshalJSON(data []byte) error {
	text := string(data)
	if text == "null" {
		return nil
	}
	if len(text) >= 2 && text[0] == '"' {
		text = text[1 : len(text)-1]
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return &ResponseError{Detail: "not a 64-bit integer"}
	}
	*i = int64String(n)
	return nil
}

type responseHeader struct {
	Revision int64String `json:"revision"`
}

type rangeRequest struct {
	Key      []byte      `json:"key"`
	RangeEnd []byte      `json:"range_end,omitempty"`
	Limit    int64String `json:"limit,omitempty"`
}

type keyValue struct {
	Key            []byte      `json:"key"`
	CreateRevision int64String `json:"create_revision"`
	ModRevision    int64String `json:"mod_revision"`
	Value          []byte      `json:"value"`
	Lease          int64String `json:"lease"`
}

func (kv keyValue) entry() Entry {
	return Entry{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Lease:          LeaseID(kv.Lease),
	}
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs"`
	More   bool           `json:"more"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type deleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type deleteRangeResponse struct {
	Header  responseHeader `json:"header"`
	Deleted int64String    `json:"deleted"`
}

// Values of comparison.Target and comparison.Result.
const (
	targetCreate = "CREATE"
	targetMod    = "MOD"
	resultEqual  = "EQUAL"
)

type comparison struct {
	Key            []byte       `json:"key"`
	Target         string       `json:"target"`
	Result         string       `json:"result"`
	CreateRevision *int64String `json:"create_revision,omitempty"`
	ModRevision    *int64String `json:"mod_revision,omitempty"`
}

type requestOp struct {
	Put         *putRequest         `json:"request_put,omitempty"`
	DeleteRange *deleteRangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []comparison `json:"compare"`
	Success []requestOp  `json:"success"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseGrantRequest struct {
	TTL int64String `json:"TTL"`
}

type leaseRequest struct {
	ID int64String `json:"ID"`
}

type leaseResponse struct {
	ID  int64String `json:"ID"`
	TTL int64String `json:"TTL"`
}

type leaseKeepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchCreateRequest struct {
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end"`
	StartRevision int64String `json:"start_revision"`
}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
}

const eventDelete = "DELETE"

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created"`
	Canceled        bool           `json:"canceled"`
	CompactRevision int64String    `json:"compact_revision"`
	Events          []watchEvent   `json:"events"`
}

type watchResponse struct {
	Result *watchResult  `json:"result"`
	Error  *gatewayError `json:"error"`
}

// gatewayError is the body of a response whose status is not 200, or the error in
// a response of a watch.
type gatewayError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// The gRPC status codes that the client handles specially.
const (
	codeInvalidArgument    = 3
	codeNotFound           = 5
	codeResourceExhausted  = 8
	codeFailedPrecondition = 9
	codeOutOfRange         = 11
)
