package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"redwingknot/wire/wirepb"
)

const (
	nonceBytes = 16
	// setupTimeout limits the handshake of a connection and, on each stream, the
	// time until the request has been received.
	setupTimeout = 3 * time.Second
	roleDialler  = "dialler"
	roleAcceptor = "acceptor"
)

// computeProof returns the HMAC-SHA-256, keyed with the shared key, of the
// prover's role and both nonces.
func computeProof(key []byte, role string, diallerNonce, acceptorNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(diallerNonce)
	mac.Write(acceptorNonce)
	return mac.Sum(nil)
}

// newNonce returns a random nonce of nonceBytes bytes.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// authDial runs the dialler's side of the handshake: it checks the acceptor's
// proof of the shared key, then sends its own. It returns an *AuthError if the
// acceptor's proof is wrong.
func authDial(conn net.Conn, key []byte) error {
	conn.SetDeadline(time.Now().Add(setupTimeout))
	defer conn.SetDeadline(time.Time{})
	nonce := newNonce()
	if err := writeFrame(conn, &wirepb.Hello{Nonce: nonce}); err != nil {
		return err
	}
	var ch wirepb.Challenge
	if err := readLimitedFrame(conn, &ch, maxHandshakeBytes); err != nil {
		return err
	}
	if !hmac.Equal(ch.Proof, computeProof(key, roleAcceptor, nonce, ch.Nonce)) {
		return &AuthError{Addr: conn.RemoteAddr().String()}
	}
	return writeFrame(conn, &wirepb.Proof{Proof: computeProof(key, roleDialler, nonce, ch.Nonce)})
}

// authAccept runs the acceptor's side of the handshake. The acceptor sends its
// proof first; the proof covers the dialler's nonce, so that it can't be
// replayed. It returns an *AuthError if the dialler's nonce has the wrong length
// or its proof is wrong.
func authAccept(conn net.Conn, key []byte) error {
	conn.SetDeadline(time.Now().Add(setupTimeout))
	defer conn.SetDeadline(time.Time{})
	var hello wirepb.Hello
	if err := readLimitedFrame(conn, &hello, maxHandshakeBytes); err != nil {
		return err
	}
	if len(hello.Nonce) != nonceBytes {
		return &AuthError{Addr: conn.RemoteAddr().String()}
	}
	nonce := newNonce()
	ch := &wirepb.Challenge{Nonce: nonce, Proof: computeProof(key, roleAcceptor, hello.Nonce, nonce)}
	if err := writeFrame(conn, ch); err != nil {
		return err
	}
	var p wirepb.Proof
	if err := readLimitedFrame(conn, &p, maxHandshakeBytes); err != nil {
		return err
	}
	if !hmac.Equal(p.Proof, computeProof(key, roleDialler, hello.Nonce, nonce)) {
		return &AuthError{Addr: conn.RemoteAddr().String()}
	}
	return nil
}
