package place

import (
	"math"
	"time"
)

// Parameters of StreamModel.
const (
	// intervalWeight is the weight of a new sample in the moving averages of the model, which
	// thus cover about a hundred events, a few streams.
	intervalWeight = 0.01
	// maxIntervalRatio limits the effect of a single pause, such as that of an endpoint which
	// was suspended, to this multiple of the expected one.
	maxIntervalRatio = 8
	// quietPending is the number of pending tokens up to which an engine counts as prefilling
	// nothing: they take a few milliseconds.
	quietPending = 500
	// pendingClasses is the number of classes of pending tokens: up to quietPending, and then
	// each to the double of the one before. The last has all above 64,000.
	pendingClasses = 9
	// minClassSamples is the number of events before which a class is not used.
	minClassSamples = 20
	// minModelSamples is the number of events, of some ten streams, before which decisions don't
	// use the model.
	minModelSamples = 300
)

// StreamModel learns how long the engines of a service take from one event of a stream to the
// next, by the number of prompt tokens that the engine still has to prefill, which it does in
// chunks between the steps. An event holds several tokens, so that it takes several steps; what
// delays callers is the time of an event. How prefill disturbs differs between engines (one
// chunk a step, or one of each prompt), so that it is measured for classes of pending tokens
// and not derived. StreamModel does no I/O and reads no clock. It is not safe for concurrent
// use.
//
// Load pattern: see Interference.
type StreamModel struct {
	classes [pendingClasses]intervalClass
	err     float64 // moving average of the relative error
	samples int
}

// intervalClass is what is known of the time between events at one class of pending tokens.
type intervalClass struct {
	seconds float64 // moving average
	samples int
}

// pendingClass returns the class of a number of pending tokens.
func pendingClass(pending int) int {
	class := 0
	for limit := quietPending; pending > limit && class < pendingClasses-1; limit *= 2 {
		class++
	}
	return class
}

// Observe adds a measurement: a pause between two events of a stream at an engine that had
// the given number of pending prompt tokens. speed is the engine's Speed.
func (m *StreamModel) Observe(pause time.Duration, pending int, speed float64) {
	if pause <= 0 {
		return
	}
	seconds := pause.Seconds() / speed
	if expected := m.Interval(pending, 1).Seconds(); expected > 0 {
		m.err += intervalWeight * (min(math.Abs(seconds-expected)/expected, maxIntervalRatio) - m.err)
	}
	m.samples++
	c := &m.classes[pendingClass(pending)]
	if c.samples >= minClassSamples {
		seconds = min(seconds, maxIntervalRatio*c.seconds)
	}
	c.samples++
	c.seconds += max(intervalWeight, 1/float64(c.samples)) * (seconds - c.seconds)
}

// Interval returns the expected time between two events at an engine with the given number of
// pending prompt tokens and Speed, 0 if it is not known. Without measurements of as many tokens,
// it is that of the most tokens below.
func (m *StreamModel) Interval(pending int, speed float64) time.Duration {
	seconds := 0.0
	for class := pendingClass(pending); class >= 0 && seconds == 0; class-- {
		if c := &m.classes[class]; c.samples >= minClassSamples {
			seconds = max(c.seconds, m.classes[0].seconds)
		}
	}
	return time.Duration(speed * seconds * float64(time.Second))
}

// Measured reports whether the model rests on enough samples to decide by it.
func (m *StreamModel) Measured() bool {
	return m.samples >= minModelSamples && m.classes[0].samples >= minClassSamples
}

// noisyMargin is how many times the model's error a pause may exceed the expected one by before
// it is unusual, and noisyBase the same of a model without error. Where events take differently
// long by nature, the error is large.
const (
	noisyBase   = 1.5
	noisyMargin = 1.5
)

// NoisyLevel returns the level of NoiseTracker.Noise from which an engine counts as noisy.
func (m *StreamModel) NoisyLevel() float64 { return noisyBase + noisyMargin*m.err }

// Error returns the mean relative error of the model.
func (m *StreamModel) Error() float64 { return m.err }

// Parameters of SpeedTracker.
const (
	// speedWeight is the weight of a new sample, so that about two hundred events, some ten
	// streams, decide.
	speedWeight = 0.005
	// minSpeedSamples is the number of samples before which an engine counts as usual.
	minSpeedSamples = 100
	// minSpeedDeviation is the deviation below which an engine counts as usual: measurements of
	// equal engines differ by up to a tenth, and requests of a session should stay together.
	minSpeedDeviation = 0.15
	// maxSpeedSample limits the effect of short disturbances, which NoiseTracker measures.
	maxSpeedSample = 2
)

// SpeedTracker learns how long one engine takes relative to the others of its service, from
// the pauses between the events of its streams. Unlike SlownessTracker it does not forget: an
// instance among many sends an engine a request every ten seconds. It reads no clock and is not
// safe for concurrent use.
//
// Load pattern: a third of the engines always take 1.3 times as long. If an instance forgets
// that between two of its requests to an engine, these engines get as many as the others, and
// their requests are late.
type SpeedTracker struct {
	ratio   float64 // moving average of the relative time, less 1
	samples int
}

// Observe adds a sample, the duration of a pause relative to that of the service's StreamModel.
func (t *SpeedTracker) Observe(ratio float64) {
	t.samples++
	t.ratio += max(speedWeight, 1/float64(t.samples)) * (min(ratio, maxSpeedSample) - 1 - t.ratio)
}

// Speed returns how long the engine takes relative to the usual time of its service: 1 if that
// is usual or not known, more if it is slower.
func (t *SpeedTracker) Speed() float64 {
	if t.samples < minSpeedSamples || math.Abs(t.ratio) < minSpeedDeviation {
		return 1
	}
	return 1 + t.ratio
}

// Parameters of NoiseTracker.
const (
	// noiseWeight is the weight of a new sample, so that three pauses decide.
	noiseWeight = 0.4
	// noiseHalvingTime is the time without samples after which a disturbance counts half: they
	// last some hundred milliseconds.
	noiseHalvingTime = 200 * time.Millisecond
)

// NoiseTracker tracks whether the streams of an engine pause longer right now than its load
// explains. It does no I/O; callers pass in the time. It is not safe for concurrent use.
//
// Load pattern: an engine is 2.5 times as slow for some hundred milliseconds now and then. A
// prompt that is prefilled there meanwhile makes the pauses of its streams exceed their
// objective.
type NoiseTracker struct {
	excess    float64   // moving average of the pauses relative to the expected ones, less 1
	updated   time.Time // time of the last sample
	streams   int       // streams that have had an event and have not ended
	lastEvent time.Time // time of the last event of any of them
}

// Begin records the first event of a stream, and End the end of a stream that began.
func (t *NoiseTracker) Begin(now time.Time) {
	t.streams++
	t.lastEvent = now
}

// End is described at Begin.
func (t *NoiseTracker) End() { t.streams-- }

// Idle reports whether there are neither streams nor measurements.
func (t *NoiseTracker) Idle() bool { return t.streams == 0 && t.excess == 0 }

// Streams returns the number of streams that have begun and not ended.
func (t *NoiseTracker) Streams() int { return t.streams }

// Observe adds a pause that ended at now, relative to the expected one.
func (t *NoiseTracker) Observe(ratio float64, now time.Time) {
	t.excess = (1-noiseWeight)*t.decayed(now) + noiseWeight*(min(ratio, maxIntervalRatio)-1)
	t.updated, t.lastEvent = now, now
}

// decayed returns excess, reduced by the time since the last sample.
func (t *NoiseTracker) decayed(now time.Time) float64 {
	age := max(now.Sub(t.updated), 0)
	return t.excess / (1 + float64(age)/float64(noiseHalvingTime))
}

// Noise returns how long the streams pause relative to the expected time between events, 1
// being usual. Streams that have had no event for longer than that count before their pause
// has ended.
func (t *NoiseTracker) Noise(expected time.Duration, now time.Time) float64 {
	noise := 1 + max(t.decayed(now), 0)
	if t.streams > 0 && expected > 0 {
		open := float64(now.Sub(t.lastEvent)) / float64(expected)
		noise = max(noise, min(open, maxIntervalRatio))
	}
	return noise
}
