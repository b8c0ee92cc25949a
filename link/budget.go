package link

import (
	"cmp"
	"math"
	"time"
)

// Defaults of BudgetOptions.
const (
	defaultBurst       = 200 * time.Millisecond
	defaultLeaseLife   = 2 * time.Second
	defaultMaxTransfer = 10 * time.Second
	defaultExportFloor = 0.1
	defaultLiveShare   = 0.1
	defaultLocalShare  = 0.1
)

// exportRateShare of the granted rate is the most that exports move at, one
// after the other, so that a bring-back that begins meanwhile finds room.
const exportRateShare = 0.5

// BudgetOptions describes a link. Live traffic, which is not granted here but
// uses the same link, keeps LiveShare of it; instances that can't reach the
// home share LocalShare; what remains is granted.
type BudgetOptions struct {
	Rate          int64         // bytes a second that the link carries
	Burst         time.Duration // of the granted rate that may pile up; 0 for the default
	LeaseLifetime time.Duration // from the start of a lease; 0 for the default
	MaxTransfer   time.Duration // of the granted rate in one lease; 0 for the default
	LiveShare     float64       // 0 for the default, below 0 for none
	LocalShare    float64       // 0 for the default, below 0 for none
	ExportFloor   float64       // part of the granted rate that exports keep; 0 for the default
}

// Lease is the right to move Bytes over a link at Rate, beginning after StartIn
// and before Expires.
type Lease struct {
	ID      uint64
	Class   Class
	Bytes   int64
	Rate    int64 // bytes a second
	StartIn time.Duration
	Expires time.Time
}

// Budget is a link's home instance's account of the link. When a bring-back
// begins, the bytes of all leases before it are at most the burst plus the
// granted rate times the time since the budget began, less what was returned,
// plus one export; the same holds for exports among themselves. Bring-back is
// booked ahead, in order, as long as the requester would wait; exports take what
// bring-back leaves, and keep a floor of their own. The budget begins empty, so
// that a new home adds nothing to what the one before it granted. Not safe for
// concurrent use.
type Budget struct {
	opts   BudgetOptions
	at     time.Time
	rate   float64 // bytes a second granted, of both buckets
	main   float64 // bytes that may begin now; below 0 for bytes booked ahead
	export float64 // bytes that exports may begin now; below 0 after one that was larger
	nextID uint64
}

// NewBudget returns the budget of a link whose home this instance became at now.
func NewBudget(now time.Time, o BudgetOptions) *Budget {
	o.Burst = cmp.Or(o.Burst, defaultBurst)
	o.LeaseLifetime = cmp.Or(o.LeaseLifetime, defaultLeaseLife)
	o.MaxTransfer = cmp.Or(o.MaxTransfer, defaultMaxTransfer)
	o.LiveShare = max(cmp.Or(o.LiveShare, defaultLiveShare), 0)
	o.LocalShare = max(cmp.Or(o.LocalShare, defaultLocalShare), 0)
	o.ExportFloor = cmp.Or(o.ExportFloor, defaultExportFloor)
	b := &Budget{opts: o, at: now}
	b.SetRate(now, o.Rate)
	return b
}

// SetRate changes what the link carries, as after an estimate.
func (b *Budget) SetRate(now time.Time, bytesPerSecond int64) {
	b.accrue(now)
	b.rate = float64(max(bytesPerSecond, 0)) * max(1-b.opts.LiveShare-b.opts.LocalShare, 0)
	b.main = min(b.main, b.mainCap())
	b.export = min(b.export, b.exportCap())
}

// Rate returns the bytes a second that are granted.
func (b *Budget) Rate() int64 { return int64(b.rate) }

// Wait returns how long a bring-back asked for now would wait for its start.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.accrue(now)
	return b.wait()
}

// Grant gives out a lease of at most want bytes. A bring-back gets none if it
// would have to wait longer than within. An export gets none unless its start
// is now.
func (b *Budget) Grant(now time.Time, class Class, want int64, within time.Duration) Lease {
	b.accrue(now)
	l := Lease{Class: class, Rate: int64(b.rate)}
	n := min(float64(max(want, 0)), b.rate*b.opts.MaxTransfer.Seconds())
	if class == BringBack {
		l.StartIn = b.wait()
		l.Bytes = b.book(n, within)
	} else {
		l.Rate = int64(b.rate * exportRateShare)
		l.Bytes = b.spare(n)
	}
	b.nextID++
	l.ID = b.nextID
	l.Expires = now.Add(l.StartIn + b.opts.LeaseLifetime)
	return l
}

// book takes the bytes of a bring-back.
func (b *Budget) book(n float64, within time.Duration) int64 {
	if b.wait() > within {
		return 0
	}
	b.main -= math.Trunc(n)
	return int64(n)
}

// spare takes the bytes of an export once those before it are covered. A whole
// export may be larger than what ever piles up.
func (b *Budget) spare(n float64) int64 {
	if b.export <= 0 {
		return 0
	}
	b.export -= math.Trunc(n)
	return int64(n)
}

// ReturnUnused takes back bytes that a holder will not use before the lease expires.
func (b *Budget) ReturnUnused(now time.Time, l Lease, unused int64) {
	b.accrue(now)
	if unused <= 0 || unused > l.Bytes || !now.Before(l.Expires) {
		return
	}
	b.main = min(b.main+float64(unused), b.mainCap())
}

// accrue adds what the time since the last call is worth. Exports get their
// floor and what bring-back leaves, but no more than they may move; what they
// can't hold goes back.
func (b *Budget) accrue(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.main += b.mainRate() * elapsed
	left := max(b.main-b.mainCap(), 0)
	b.main -= left
	b.export += min(b.rate*b.opts.ExportFloor*elapsed+left, b.rate*exportRateShare*elapsed)
	over := max(b.export-b.exportCap(), 0)
	b.export -= over
	b.main = min(b.main+over, b.mainCap())
}

// wait returns the time until what is booked has been covered.
func (b *Budget) wait() time.Duration {
	if b.main >= 0 {
		return 0
	}
	if b.rate <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(-b.main / b.mainRate() * float64(time.Second))
}

func (b *Budget) mainRate() float64  { return b.rate * (1 - b.opts.ExportFloor) }
func (b *Budget) mainCap() float64   { return b.mainRate() * b.opts.Burst.Seconds() }
func (b *Budget) exportCap() float64 { return b.rate * b.opts.ExportFloor * b.opts.Burst.Seconds() }
