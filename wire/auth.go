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
	nonceBytes       = 16
	handshakeTimeout = 3 * time.Second
	roleDialler      = "dialler"
	roleAcceptor     = "acceptor"
)

// prove returns the proof of key by one role over both nonces.
func prove(key []byte, role string, dialler, acceptor []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(dialler)
	mac.Write(acceptor)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// authDial proves the key to the acceptor and checks the acceptor's proof.
func authDial(conn net.Conn, key []byte) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer conn.SetDeadline(time.Time{})
	mine := newNonce()
	if err := writeFrame(conn, &wirepb.Hello{Nonce: mine}); err != nil {
		return err
	}
	var ch wirepb.Challenge
	if err := readFrame(conn, &ch); err != nil {
		return err
	}
	if !hmac.Equal(ch.Proof, prove(key, roleAcceptor, mine, ch.Nonce)) {
		return &AuthError{Addr: conn.RemoteAddr().String()}
	}
	return writeFrame(conn, &wirepb.Proof{Proof: prove(key, roleDialler, mine, ch.Nonce)})
}

// authAccept is the acceptor's side of authDial. The acceptor proves itself
// first: its proof covers the dialler's nonce and can't be replayed.
func authAccept(conn net.Conn, key []byte) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer conn.SetDeadline(time.Time{})
	var hello wirepb.Hello
	if err := readFrame(conn, &hello); err != nil {
		return err
	}
	if len(hello.Nonce) != nonceBytes {
		return &AuthError{Addr: conn.RemoteAddr().String()}
	}
	mine := newNonce()
	ch := &wirepb.Challenge{Nonce: mine, Proof: prove(key, roleAcceptor, hello.Nonce, mine)}
	if err := writeFrame(conn, ch); err != nil {
		return err
	}
	var p wirepb.Proof
	if err := readFrame(conn, &p); err != nil {
		return err
	}
	if !hmac.Equal(p.Proof, prove(key, roleDialler, hello.Nonce, mine)) {
		return &AuthError{Addr: conn.RemoteAddr().String()}
	}
	return nil
}
