package team

import (
	"context"
	"time"

	"redwingknot/metric"
	"redwingknot/wire"
)

const methodExchange = "team.exchange"

// Register lets the server's callers exchange messages with l.
func (l *Limiter) Register(s *wire.Server) {
	wire.Handle(s, methodExchange, func(_ context.Context, m *Message) (*Message, error) {
		reply := l.Receive(l.cfg.Now(), m)
		if reply == nil {
			reply = &Message{}
		}
		return reply, nil
	})
}

// Run exchanges messages with the other instances until ctx ends. client
// returns the client of an instance, nil if its address is not known.
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
			go l.exchange(ctx, client, m)
		}
	}
}

// exchange sends one message and takes in the reply. A failure is left to the
// next interval.
func (l *Limiter) exchange(ctx context.Context, client func(string) wire.Caller, m *Message) {
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
