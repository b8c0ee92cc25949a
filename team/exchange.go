package team

import (
	"context"
	"time"

	"redwingknot/metric"
	"redwingknot/wire"
)

// methodExchange is the name of the wire method that carries a Message.
const methodExchange = "team.exchange"

// Register registers the method by which other instances exchange messages with l.
func (l *Limiter) Register(s *wire.Server) {
	wire.Handle(s, methodExchange, func(_ context.Context, m *Message) (*Message, error) {
		reply := l.Receive(l.cfg.Now(), m)
		if reply == nil {
			reply = &Message{}
		}
		return reply, nil
	})
}

// Run exchanges messages with the other instances at every interval until ctx ends,
// and then returns nil. client returns the client for an instance, or nil if the
// instance's address is not known.
func (l *Limiter) Run(ctx context.Context, client func(instance string) wire.Caller) error {
	ticker := time.NewTicker(l.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, m := range l.Tick(l.cfg.Now()) {
			go l.exchangeWith(ctx, client, m)
		}
	}
}

// exchangeWith sends one message and handles the reply. A failed exchange is counted
// and not retried; the next interval sends a new message.
func (l *Limiter) exchangeWith(ctx context.Context, client func(string) wire.Caller, m *Message) {
	if m.To == l.cfg.Self {
		l.Receive(l.cfg.Now(), l.Receive(l.cfg.Now(), m))
		return
	}
	c := client(m.To)
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Lease)
	defer cancel()
	reply := &Message{}
	if err := c.Call(ctx, methodExchange, m, reply); err != nil {
		metric.Counter("team_exchange_failed_total").Inc(1)
		return
	}
	l.Receive(l.cfg.Now(), reply)
}
