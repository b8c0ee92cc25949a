package decisionbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"redwingknot/contract"
)

const (
	modelName    = "m"
	modelVersion = "v1"
	newShare     = 0.03 // requests whose document was never seen
	popularity   = 0.8  // exponent of the documents' popularity
	teamCount    = 10
	teamSkew     = 1.2
)

// load is the traffic of one class.
type load struct {
	class  contract.Class
	share  float64 // of the requests
	pieces int     // of its documents
	suffix int     // prompt tokens after the document
	out    int     // tokens of the answer
}

// item is a kind of request that costs the same.
type item struct {
	load  *load
	fresh bool // the document was never seen
}

// cost is the least processing time of a request, in seconds: the batch is full
// and its document cached unless new.
func (i item) cost() float64 {
	tokens := i.load.suffix
	if i.fresh {
		tokens += i.load.pieces * pieceTokens
	}
	return float64(tokens)/prefillRate + float64(i.load.out)*perToken
}

func (i item) density() float64 { return i.load.class.Worth / i.cost() }

// Deployment is a set of workers and its traffic.
type Deployment struct {
	Name         string
	Workers      int
	Routers      int
	SharedDocs   int // documents that return, over all classes
	NetworkDelay float64
	ClassLoads   []load
}

func class(name string, worth float64, firstIn, deadline time.Duration) contract.Class {
	return contract.Class{Name: name, Worth: worth, FirstIn: firstIn, Deadline: deadline}
}

// Authority marks trainees, drafts scenarios and answers marshals.
func Authority() Deployment {
	return Deployment{
		Name: "authority", Workers: 10, Routers: 6, SharedDocs: 600, NetworkDelay: 0.0015,
		ClassLoads: []load{
			{class("verdict", 10, time.Second, 10*time.Second), 0.3, 2, 300, 40},
			{class("scenario", 6, 3*time.Second, 30*time.Second), 0.2, 15, 600, 400},
			{class("question", 1, 800*time.Millisecond, 8*time.Second), 0.5, 4, 200, 80},
		},
	}
}

// CoOp checks signatures and answers families at the gate.
func CoOp() Deployment {
	return Deployment{
		Name: "co-op", Workers: 20, Routers: 7, SharedDocs: 1600, NetworkDelay: 0.0005,
		ClassLoads: []load{
			{class("sign-check", 8, 600*time.Millisecond, 6*time.Second), 0.3, 2, 200, 30},
			{class("question", 3, 500*time.Millisecond, 5*time.Second), 0.4, 3, 150, 60},
			{class("explain", 2, 500*time.Millisecond, 5*time.Second), 0.3, 4, 250, 150},
		},
	}
}

// Scaled returns the deployment at n times its size, with the given routers.
func (d Deployment) Scaled(n, routers int) Deployment {
	d.Name = fmt.Sprintf("%s x%d", d.Name, n)
	d.Workers *= n
	d.SharedDocs *= n
	d.Routers = routers
	return d
}

// capacity is the number of requests a second that the workers can run at the
// least cost.
func (d Deployment) capacity() float64 {
	mean := 0.0
	for i := range d.ClassLoads {
		l := &d.ClassLoads[i]
		mean += l.share * ((1-newShare)*item{l, false}.cost() + newShare*item{l, true}.cost())
	}
	return float64(d.Workers) / mean
}

// document is a prompt that returns.
type document struct {
	id     int
	store  int
	pieces []string
}

// request is one call of a caller.
type request struct {
	id     int
	load   *load
	team   string
	doc    *document
	fresh  bool
	router int
	at     float64
	gaveUp float64

	patience float64 // seconds to first token after which its worth is lost
	tries    int
	tried    []string
}

func (r *request) tokens() int { return len(r.doc.pieces)*pieceTokens + r.load.suffix }

// traffic draws requests.
type traffic struct {
	d      Deployment
	rng    *rand.Rand
	docs   [][]*document // by load, most popular first
	cums   [][]float64
	teams  []float64
	nextID int
	nextDo int
}

func newTraffic(d Deployment, rng *rand.Rand) *traffic {
	t := &traffic{d: d, rng: rng, teams: zipf(teamCount, teamSkew)}
	for _, l := range d.ClassLoads {
		n := d.SharedDocs / len(d.ClassLoads)
		var docs []*document
		for range n {
			docs = append(docs, t.newDocument(l.pieces))
		}
		t.docs = append(t.docs, docs)
		t.cums = append(t.cums, zipf(n, popularity))
	}
	return t
}

func (t *traffic) newDocument(pieces int) *document {
	t.nextDo++
	d := &document{id: t.nextDo, store: t.nextDo % storeCount}
	for i := range pieces {
		d.pieces = append(d.pieces, fmt.Sprintf("%d/%d", d.id, i))
	}
	return d
}

// zipf returns the cumulative shares of n ranks.
func zipf(n int, exponent float64) []float64 {
	cum := make([]float64, n)
	sum := 0.0
	for i := range cum {
		sum += math.Pow(float64(i+1), -exponent)
		cum[i] = sum
	}
	for i := range cum {
		cum[i] /= sum
	}
	return cum
}

func (t *traffic) rank(cum []float64) int {
	x := t.rng.Float64()
	lo, hi := 0, len(cum)-1
	for lo < hi {
		mid := (lo + hi) / 2
		if cum[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

func (t *traffic) next(now float64) *request {
	t.nextID++
	i, x := 0, t.rng.Float64()
	for x -= t.d.ClassLoads[i].share; x > 0 && i < len(t.d.ClassLoads)-1; x -= t.d.ClassLoads[i].share {
		i++
	}
	l := &t.d.ClassLoads[i]
	r := &request{id: t.nextID, load: l, at: now, router: t.rng.IntN(t.d.Routers)}
	r.patience = l.class.FirstIn.Seconds()
	r.gaveUp = now + l.class.Deadline.Seconds()
	r.team = fmt.Sprint("team", t.rank(t.teams))
	if t.rng.Float64() < newShare {
		r.doc, r.fresh = t.newDocument(l.pieces), true
	} else {
		r.doc = t.docs[i][t.rank(t.cums[i])]
	}
	return r
}
