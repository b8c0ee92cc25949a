package peers

import (
	"time"

	"redwingknot/metric"
	"redwingknot/peers/peerspb"
	"redwingknot/suspect"
)

// maxSuspectsPerReport bounds the size of a report, so that a storm of crashes leaves room on
// a link of 10 Mbit/s. The crash of an endpoint makes some tens of suspects.
const maxSuspectsPerReport = 64

// addSuspects adds the changes of suspects that p is not known to have to a report that
// has its stamps: all if p has not yet told which report of this process it has got.
func (e *Exchange) addSuspects(r *peerspb.Report, p *peer) {
	if e.opts.Suspects == nil || p == nil {
		return
	}
	r.SuspectsAfter = p.ackedSuspects(e.process)
	records, through := e.opts.Suspects.Changes(r.SuspectsAfter, maxSuspectsPerReport)
	r.SuspectsThrough = through
	builtAt := time.Unix(0, r.Built.Time)
	for _, rec := range records {
		r.Suspects = append(r.Suspects, suspect.EncodeRecord(rec, builtAt))
	}
}

// ackedSuspects returns the number of changes of suspects of the given process that the
// peer is known to have.
func (p *peer) ackedSuspects(process uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.echo.GetProcess() != process {
		return 0
	}
	return p.suspectsAcked
}

// applySuspects merges the suspects of another instance's report.
func (e *Exchange) applySuspects(r *peerspb.Report) {
	if e.opts.Suspects == nil || len(r.Suspects) == 0 {
		return
	}
	now := e.opts.Now()
	var records []suspect.Record
	for _, s := range r.Suspects {
		rec, err := suspect.DecodeRecord(s, now)
		if err != nil {
			metric.Counter("peer_suspects_invalid_total").Inc(1)
			continue
		}
		records = append(records, rec)
	}
	e.opts.Suspects.Merge(records)
}
