package soak

import (
	"fmt"
	"net"

	"redwingknot/internal/standin/fleetwire"
)

// loopback is a block of loopback addresses that no other run uses. Every gateway
// gets an address of its own in it, so that all gateways can use the same ports.
type loopback struct {
	block         int          // second byte of the addresses
	claimListener net.Listener // open while the block is in use
}

// Range of the blocks, and the port at which a run claims its block.
const (
	firstBlock = 64
	lastBlock  = 254
	claimPort  = 7999
)

// NoBlockError reports that every block of loopback addresses is in use.
type NoBlockError struct{}

// Error implements error.
func (*NoBlockError) Error() string { return "no block of loopback addresses is free" }

// claimLoopback claims the first free block for a number of gateways. Its listener keeps
// other runs, those in other processes included, from claiming the same block.
func claimLoopback(gateways int) (*loopback, error) {
	for block := firstBlock; block <= lastBlock; block++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", block, claimPort))
		if err != nil {
			continue
		}
		claimed := &loopback{block: block, claimListener: l}
		if claimed.isFree(gateways) {
			return claimed, nil
		}
		claimed.release()
	}
	return nil, &NoBlockError{}
}

// isFree reports whether no process listens at the addresses of the gateways. A run that was
// killed leaves its gateways behind, but not its claim.
func (l *loopback) isFree(gateways int) bool {
	for n := range gateways {
		front, err := net.Listen("tcp4", net.JoinHostPort(l.addr(n), fleetwire.FrontPort))
		if err != nil {
			return false
		}
		front.Close()
	}
	return true
}

// addr returns the address of gateway n, counted from 0.
func (l *loopback) addr(n int) string { return fmt.Sprintf("127.%d.0.%d", l.block, n+1) }

// release makes the block available to other runs.
func (l *loopback) release() { l.claimListener.Close() }
