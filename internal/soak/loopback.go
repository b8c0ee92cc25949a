package soak

import (
	"fmt"
	"net"
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

// claimLoopback claims the first free block. Its listener keeps other runs, those in
// other processes included, from claiming the same block.
func claimLoopback() (*loopback, error) {
	for block := firstBlock; block <= lastBlock; block++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", block, claimPort))
		if err == nil {
			return &loopback{block: block, claimListener: l}, nil
		}
	}
	return nil, &NoBlockError{}
}

// addr returns the address of gateway n, counted from 0.
func (l *loopback) addr(n int) string { return fmt.Sprintf("127.%d.0.%d", l.block, n+1) }

// release makes the block available to other runs.
func (l *loopback) release() { l.claimListener.Close() }
