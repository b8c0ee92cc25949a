package place

// coldUse is the part of the rate that a cold endpoint bears which all instances together
// aim for. Above the rate it crashes, and requests do not arrive as evenly as they are sent.
const coldUse = 0.95

// ColdRate returns the rate of requests to a cold endpoint that bears perSecond requests a
// second, of which at most over times that rate and slack more may arrive in one second.
//
// Load pattern: an endpoint that has just started bears a tenth of its usual requests, and
// 90 instances, none of which sees the requests of the others, find it idle.
func ColdRate(perSecond, over, slack float64) PacedRate {
	return PacedRate{PerSecond: coldUse * perSecond, Most: over*perSecond + slack}
}
