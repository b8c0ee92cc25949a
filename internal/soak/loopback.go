package soak

import (
	"fmt"
	"net"
)

// loopback is a block of loopback addresses that no other run uses, so that
// every gateway has the same ports at an address of its own.
type loopback struct {
	block int
	claim net.Listener // held while the block is in use
}

const (
	firstBlock = 64
	lastBlock  = 254
	claimPort  = 7999
)

// NoBlockError reports that every block of loopback addresses is in use.
type NoBlockError struct{}

// Error implements error.
func (*NoBlockError) Error() string { return "no block of loopback addresses is free" }

// claimLoopback takes the first free block. The listener tells other runs, also
// those of other processes, that it is taken.
func claimLoopback() (*loopback, error) {
	for block := firstBlock; block <= lastBlock; block++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", block, claimPort))
		if err == nil {
			return &loopback{block: block, claim: l}, nil
		}
	}
	return nil, &NoBlockError{}
}

// addr returns the address of the nth gateway.
func (l *loopback) addr(n int) string { return fmt.Sprintf("127.%d.0.%d", l.block, n+1) }

func (l *loopback) free() { l.claim.Close() }
