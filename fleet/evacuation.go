package fleet

import (
	"maps"
	"time"
)

// evacuationHoldTime is how long an evacuation stays in force whose key is missing in an
// older copy from which the metadata store has come back. The operator writes the key
// again in that time, or the evacuation ends. It is above the 6 s by which the users extend
// the time to stop sending while the store is disturbed.
const evacuationHoldTime = 10 * time.Second

// BeginEvacuation records that nothing may be sent to endpoints of a data centre. It
// reports whether that was not so before.
func (v *View) BeginEvacuation(dataCentre string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.evacuationEnds, dataCentre)
	if v.current.Load().Evacuated[dataCentre] {
		return false
	}
	v.updateSnapshot(func(s *Snapshot) {
		evacuated := maps.Clone(s.Evacuated)
		if evacuated == nil {
			evacuated = map[string]bool{}
		}
		evacuated[dataCentre] = true
		s.Evacuated = evacuated
		s.indexServing()
	})
	return true
}

// EndEvacuation records that the operator has ended the evacuation of a data centre. It
// reports whether it was in force.
func (v *View) EndEvacuation(dataCentre string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.endEvacuation(dataCentre)
}

// HoldEvacuation records that the key of an evacuation is missing at now in the older copy
// from which the metadata store has come back. Unless BeginEvacuation is called before, the
// evacuation ends after evacuationHoldTime.
func (v *View) HoldEvacuation(dataCentre string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current.Load().Evacuated[dataCentre] {
		v.evacuationEnds[dataCentre] = now.Add(evacuationHoldTime)
	}
}

// ExpireEvacuations ends the evacuations that HoldEvacuation has held for
// evacuationHoldTime, and returns their data centres. While the metadata store does not
// answer, none ends: its key may have been written again.
func (v *View) ExpireEvacuations(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ended []string
	for dataCentre, end := range v.evacuationEnds {
		if !v.storeUnreachable && !now.Before(end) && v.endEvacuation(dataCentre) {
			ended = append(ended, dataCentre)
		}
	}
	return ended
}

// endEvacuation ends an evacuation and reports whether it was in force. The caller holds mu.
func (v *View) endEvacuation(dataCentre string) bool {
	delete(v.evacuationEnds, dataCentre)
	if !v.current.Load().Evacuated[dataCentre] {
		return false
	}
	v.updateSnapshot(func(s *Snapshot) {
		s.Evacuated = maps.Clone(s.Evacuated)
		delete(s.Evacuated, dataCentre)
		s.indexServing()
	})
	return true
}

// IsEvacuated reports whether the endpoints of a service are listed, but all of them are in
// data centres that are being evacuated.
func (s *Snapshot) IsEvacuated(service string) bool {
	return len(s.ByService[service]) > 0 && len(s.Serving[service]) == 0
}

// indexServing rebuilds Serving from ByService and Evacuated. Without an evacuation, the two
// maps are the same.
func (s *Snapshot) indexServing() {
	if len(s.Evacuated) == 0 {
		s.Serving = s.ByService
		return
	}
	s.Serving = make(map[string][]*Endpoint, len(s.ByService))
	for service, list := range s.ByService {
		for _, e := range list {
			if !s.Evacuated[e.DataCentre] {
				s.Serving[service] = append(s.Serving[service], e)
			}
		}
	}
}
