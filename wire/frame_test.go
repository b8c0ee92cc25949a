package wire

import (
	"bytes"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"redwingknot/wire/wirepb"
)

func TestFrameAboveLimitIsRejected(t *testing.T) {
	var frame *FrameError
	err := writeFrame(&bytes.Buffer{}, &wirepb.Request{Payload: make([]byte, MaxFrameBytes+1)})
	assert.Assert(t, errors.As(err, &frame))
	err = readFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}), &wirepb.Request{})
	assert.Assert(t, errors.As(err, &frame))
}

// TestHandshakeTakesNoLongMessage guards against memory for a long message of a peer that has not
// proved that it holds the shared key.
func TestHandshakeTakesNoLongMessage(t *testing.T) {
	accepting, peer := net.Pipe()
	go func() { _, _ = peer.Write([]byte{0, 1, 0, 0}) }() // the length of a message of 64 KiB, of which nothing follows
	var frame *FrameError
	err := authAccept(accepting, nil)
	assert.Check(t, errors.As(err, &frame), "%v", err)
}

// FuzzReadFrame passes arbitrary bytes to readFrame, as a peer might send them. A
// message that it accepts must be the same after it is written and read again.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if err := writeFrame(&b, &wirepb.Request{Method: "m", BudgetMs: 5, Payload: []byte("p")}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second wirepb.Request
		if readFrame(bytes.NewReader(data), &first) != nil {
			return
		}
		var again bytes.Buffer
		if err := writeFrame(&again, &first); err != nil {
			t.Fatal(err)
		}
		if err := readFrame(&again, &second); err != nil || !proto.Equal(&first, &second) {
			t.Fatalf("%v: %v became %v", err, &first, &second)
		}
	})
}
