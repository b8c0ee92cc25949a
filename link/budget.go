package link

import (
	"cmp"
	"math"
	"time"
)

// Defaults of BudgetOptions.
const (
	defaultBurst         = 200 * time.Millisecond
	defaultLeaseLifetime = 2 * time.Second
	defaultMaxTransfer   = 10 * time.Second
	defaultExportFloor   = 0.1
	defaultLiveShare     = 0.1
	defaultLocalShare    = 0.1
)

// exportRateShare is the part of the granted rate to which exports are limited. They
// run one after the other, so that a bring-back that starts during an export has
// bandwidth left.
const exportRateShare = 0.5

// BudgetOptions describes a link and how its rate is divided. LiveShare of the rate
// is reserved for live traffic, which uses the link without leases. InstanceShare is
// reserved for instances that can't reach the link's home. The rest is the granted
// rate, for which the budget grants leases.
type BudgetOptions struct {
	Rate          int64         // rate of the link in bytes per second
	Burst         time.Duration // how long unused granted rate accumulates; 0 for the default
	LeaseLifetime time.Duration // time from a lease's start to its expiry; 0 for the default
	MaxTransfer   time.Duration // size limit of a lease, as time at the granted rate; 0 for the default
	LiveShare     float64       // part of the rate, 0 for the default, below 0 for none
	LocalShare    float64       // part of the rate, 0 for the default, below 0 for none
	ExportFloor   float64       // part of the granted rate that is reserved for exports; 0 for the default
}

// Lease permits transfers of Bytes in total over a link at Rate. Each of them has to
// start no earlier than StartIn after the grant, and before Expires.
type Lease struct {
	ID      uint64
	Class   Class
	Bytes   int64
	Rate    int64 // bytes per second
	StartIn time.Duration
	Expires time.Time
}

// Budget limits the bytes that a link's home instance grants on the link. It has
// two token buckets, one for bring-backs and one for exports.
//
// When a bring-back starts, the bytes of all earlier leases, less the bytes
// returned, are at most the granted rate times the sum of Burst and the age of the
// budget, plus the bytes of one export. The same bound holds for the exports alone.
//
// Bring-backs reserve future bytes in the order of the requests, as long as the
// requester accepts the wait. Exports use what bring-backs leave, and at least the
// export floor. The budget starts empty, so that a new home grants nothing on top
// of what the previous home granted.
//
// Budget is not safe for concurrent use.
type Budget struct {
	opts           BudgetOptions
	accruedAt      time.Time // when the buckets were last filled
	rate           float64   // granted rate in bytes per second, both buckets together
	bringBackBytes float64   // bytes that may start now; below 0 if future bytes are reserved
	exportBytes    float64   // bytes of exports that may start now; below 0 after a larger export
	nextID         uint64
}

// NewBudget returns an empty budget of a link whose home this instance became at now.
func NewBudget(now time.Time, o BudgetOptions) *Budget {
	o.Burst = cmp.Or(o.Burst, defaultBurst)
	o.LeaseLifetime = cmp.Or(o.LeaseLifetime, defaultLeaseLifetime)
	o.MaxTransfer = cmp.Or(o.MaxTransfer, defaultMaxTransfer)
	o.LiveShare = max(cmp.Or(o.LiveShare, defaultLiveShare), 0)
	o.LocalShare = max(cmp.Or(o.LocalShare, defaultLocalShare), 0)
	o.ExportFloor = cmp.Or(o.ExportFloor, defaultExportFloor)
	b := &Budget{opts: o, accruedAt: now}
	b.SetRate(now, o.Rate)
	return b
}

// SetRate sets the rate of the link, for example to a new estimate.
func (b *Budget) SetRate(now time.Time, bytesPerSecond int64) {
	b.accrue(now)
	b.rate = float64(max(bytesPerSecond, 0)) * max(1-b.opts.LiveShare-b.opts.LocalShare, 0)
	b.bringBackBytes = min(b.bringBackBytes, b.bringBackCap())
	b.exportBytes = min(b.exportBytes, b.exportCap())
}

// Rate returns the granted rate in bytes per second.
func (b *Budget) Rate() int64 { return int64(b.rate) }

// Wait returns how long a bring-back that is requested now would wait for its start.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.accrue(now)
	return b.waitTime()
}

// Grant returns a lease of at most want bytes. The lease has 0 bytes if a bring-back
// would have to wait longer than maxWait, or if an export can't start now.
func (b *Budget) Grant(now time.Time, class Class, want int64, maxWait time.Duration) Lease {
	b.accrue(now)
	l := Lease{Class: class, Rate: int64(b.rate)}
	n := min(float64(max(want, 0)), b.rate*b.opts.MaxTransfer.Seconds())
	if class == BringBack {
		l.StartIn = b.waitTime()
		l.Bytes = b.reserveBringBack(n, maxWait)
	} else {
		l.Rate = int64(b.rate * exportRateShare)
		l.Bytes = b.takeExport(n)
	}
	b.nextID++
	l.ID = b.nextID
	l.Expires = now.Add(l.StartIn + b.opts.LeaseLifetime)
	return l
}

// reserveBringBack takes n bytes for a bring-back and returns how many it took: 0 if
// the bring-back would have to wait longer than maxWait.
func (b *Budget) reserveBringBack(n float64, maxWait time.Duration) int64 {
	if b.waitTime() > maxWait {
		return 0
	}
	b.bringBackBytes -= math.Trunc(n)
	return int64(n)
}

// takeExport takes n bytes for an export and returns how many it took: 0 while
// earlier exports are not covered. It lets the bucket become negative, because an
// export may be larger than the bucket's capacity.
func (b *Budget) takeExport(n float64) int64 {
	if b.exportBytes <= 0 {
		return 0
	}
	b.exportBytes -= math.Trunc(n)
	return int64(n)
}

// ReturnUnused gives back bytes of a lease that its holder will not use. They go to the
// bucket for bring-backs, whatever the lease's class. It has no effect after the lease
// has expired, or if unused is larger than the lease.
func (b *Budget) ReturnUnused(now time.Time, l Lease, unused int64) {
	b.accrue(now)
	if unused <= 0 || unused > l.Bytes || !now.Before(l.Expires) {
		return
	}
	b.bringBackBytes = min(b.bringBackBytes+float64(unused), b.bringBackCap())
}

// accrue fills the buckets for the time since the last call. The export bucket gets
// the floor and the overflow of the bring-back bucket, up to the rate at which
// exports may run. What overflows the export bucket goes back to the bring-back
// bucket.
func (b *Budget) accrue(now time.Time) {
	elapsed := now.Sub(b.accruedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.accruedAt = now
	b.bringBackBytes += b.bringBackRate() * elapsed
	overflow := max(b.bringBackBytes-b.bringBackCap(), 0)
	b.bringBackBytes -= overflow
	b.exportBytes += min(b.rate*b.opts.ExportFloor*elapsed+overflow, b.rate*exportRateShare*elapsed)
	exportOverflow := max(b.exportBytes-b.exportCap(), 0)
	b.exportBytes -= exportOverflow
	b.bringBackBytes = min(b.bringBackBytes+exportOverflow, b.bringBackCap())
}

// waitTime returns the time until the reserved bytes are covered.
func (b *Budget) waitTime() time.Duration {
	if b.bringBackBytes >= 0 {
		return 0
	}
	if b.rate <= 0 {
		// Half of the maximum, so that adding a duration doesn't overflow.
		return math.MaxInt64 / 2
	}
	return time.Duration(-b.bringBackBytes / b.bringBackRate() * float64(time.Second))
}

func (b *Budget) bringBackRate() float64 { return b.rate * (1 - b.opts.ExportFloor) }
func (b *Budget) bringBackCap() float64  { return b.bringBackRate() * b.opts.Burst.Seconds() }
func (b *Budget) exportCap() float64     { return b.rate * b.opts.ExportFloor * b.opts.Burst.Seconds() }
