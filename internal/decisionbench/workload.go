package decisionbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"redwingknot/contract"
)

// Parameters of the simulated traffic.
const (
	modelName        = "m"
	modelVersion     = "v1"
	newDocShare      = 0.03 // share of the requests whose document was not seen before
	docZipfExponent  = 0.8  // Zipf exponent of the documents' popularity
	teamCount        = 10
	teamZipfExponent = 1.2 // Zipf exponent of the teams' shares of the requests
)

// classLoad describes the requests of one class.
type classLoad struct {
	class        contract.Class
	share        float64 // of all requests
	docPieces    int     // pieces of each document
	suffixTokens int     // prompt tokens after the document
	answerTokens int     // tokens of the answer
}

// requestKind groups the requests that cost the same.
type requestKind struct {
	load   *classLoad
	newDoc bool // the document was not seen before
}

// minSeconds returns the least processing time of a request in seconds, which it takes
// in a full batch, with its document cached unless it is new.
func (k requestKind) minSeconds() float64 {
	tokens := k.load.suffixTokens
	if k.newDoc {
		tokens += k.load.docPieces * pieceTokens
	}
	return float64(tokens)/prefillRate + float64(k.load.answerTokens)*decodeTimePerToken
}

// worthPerSecond returns the worth of a request for each second of its least
// processing time.
func (k requestKind) worthPerSecond() float64 { return k.load.class.Worth / k.minSeconds() }

// Deployment describes a set of workers and the traffic that they get.
type Deployment struct {
	Name         string
	Workers      int
	Routers      int
	SharedDocs   int     // documents that requests share, over all classes
	NetworkDelay float64 // seconds between a router and a worker, one way
	ClassLoads   []classLoad
}

func newClass(name string, worth float64, firstIn, deadline time.Duration) contract.Class {
	return contract.Class{Name: name, Worth: worth, FirstIn: firstIn, Deadline: deadline}
}

// Authority returns the deployment of an authority. Its traffic is verdicts on
// trainees' work, scenarios to be drafted and questions of marshals.
func Authority() Deployment {
	return Deployment{
		Name: "authority", Workers: 10, Routers: 6, SharedDocs: 600, NetworkDelay: 0.0015,
		ClassLoads: []classLoad{
			{newClass("verdict", 10, time.Second, 10*time.Second), 0.3, 2, 300, 40},
			{newClass("scenario", 6, 3*time.Second, 30*time.Second), 0.2, 15, 600, 400},
			{newClass("question", 1, 800*time.Millisecond, 8*time.Second), 0.5, 4, 200, 80},
		},
	}
}

// CoOp returns the deployment of a co-op. Its traffic is checks of signatures, and
// questions and explanations for families at the gate.
func CoOp() Deployment {
	return Deployment{
		Name: "co-op", Workers: 20, Routers: 7, SharedDocs: 1600, NetworkDelay: 0.0005,
		ClassLoads: []classLoad{
			{newClass("sign-check", 8, 600*time.Millisecond, 6*time.Second), 0.3, 2, 200, 30},
			{newClass("question", 3, 500*time.Millisecond, 5*time.Second), 0.4, 3, 150, 60},
			{newClass("explain", 2, 500*time.Millisecond, 5*time.Second), 0.3, 4, 250, 150},
		},
	}
}

// Scaled returns the deployment with n times the workers and documents, and with
// the given number of routers.
func (d Deployment) Scaled(n, routers int) Deployment {
	d.Name = fmt.Sprintf("%s x%d", d.Name, n)
	d.Workers *= n
	d.SharedDocs *= n
	d.Routers = routers
	return d
}

// capacity returns the number of requests a second that the workers can process if
// each request takes its least processing time.
func (d Deployment) capacity() float64 {
	mean := 0.0
	for i := range d.ClassLoads {
		l := &d.ClassLoads[i]
		mean += l.share * ((1-newDocShare)*requestKind{l, false}.minSeconds() + newDocShare*requestKind{l, true}.minSeconds())
	}
	return float64(d.Workers) / mean
}

// document is the part of a prompt that several requests can share.
type document struct {
	id         int
	storeIndex int // of the store that holds it
	pieces     []string
}

// request is one request of a caller. Times are in seconds since epoch.
type request struct {
	id          int
	load        *classLoad
	team        string
	doc         *document
	newDoc      bool
	routerIndex int
	arrivedAt   float64
	deadline    float64 // when the caller gives up

	firstTokenLimit float64 // seconds to first token after which its worth counts as lost
	failedAttempts  int
	triedWorkers    []string
}

func (r *request) promptTokens() int { return len(r.doc.pieces)*pieceTokens + r.load.suffixTokens }

// traffic draws random requests.
type traffic struct {
	deployment    Deployment
	rng           *rand.Rand
	docs          [][]*document // by class, most popular first
	docCumShares  [][]float64   // by class, cumulative shares of its documents
	teamCumShares []float64
	lastRequestID int
	lastDocID     int
}

func newTraffic(d Deployment, rng *rand.Rand) *traffic {
	t := &traffic{deployment: d, rng: rng, teamCumShares: zipfCumShares(teamCount, teamZipfExponent)}
	for _, l := range d.ClassLoads {
		n := d.SharedDocs / len(d.ClassLoads)
		var docs []*document
		for range n {
			docs = append(docs, t.newDocument(l.docPieces))
		}
		t.docs = append(t.docs, docs)
		t.docCumShares = append(t.docCumShares, zipfCumShares(n, docZipfExponent))
	}
	return t
}

func (t *traffic) newDocument(pieces int) *document {
	t.lastDocID++
	d := &document{id: t.lastDocID, storeIndex: t.lastDocID % storeCount}
	for i := range pieces {
		d.pieces = append(d.pieces, fmt.Sprintf("%d/%d", d.id, i))
	}
	return d
}

// zipfCumShares returns the cumulative shares of n ranks under a Zipf distribution.
func zipfCumShares(n int, exponent float64) []float64 {
	cumShares := make([]float64, n)
	sum := 0.0
	for i := range cumShares {
		sum += math.Pow(float64(i+1), -exponent)
		cumShares[i] = sum
	}
	for i := range cumShares {
		cumShares[i] /= sum
	}
	return cumShares
}

// drawRank draws a rank from a distribution that is given by its cumulative shares.
func (t *traffic) drawRank(cumShares []float64) int {
	x := t.rng.Float64()
	lo, hi := 0, len(cumShares)-1
	for lo < hi {
		mid := (lo + hi) / 2
		if cumShares[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// nextRequest draws a request that arrives now.
func (t *traffic) nextRequest(now float64) *request {
	t.lastRequestID++
	i, x := 0, t.rng.Float64()
	for x -= t.deployment.ClassLoads[i].share; x > 0 && i < len(t.deployment.ClassLoads)-1; x -= t.deployment.ClassLoads[i].share {
		i++
	}
	l := &t.deployment.ClassLoads[i]
	r := &request{id: t.lastRequestID, load: l, arrivedAt: now, routerIndex: t.rng.IntN(t.deployment.Routers)}
	r.firstTokenLimit = l.class.FirstIn.Seconds()
	r.deadline = now + l.class.Deadline.Seconds()
	r.team = fmt.Sprint("team", t.drawRank(t.teamCumShares))
	if t.rng.Float64() < newDocShare {
		r.doc, r.newDoc = t.newDocument(l.docPieces), true
	} else {
		r.doc = t.docs[i][t.drawRank(t.docCumShares[i])]
	}
	return r
}
