package metric

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"

	"redwingknot/contract"
)

// namePrefix is prepended to the name of every series on output.
const namePrefix = "redwingknot_"

// contentType is the media type of the Prometheus text exposition format.
const contentType = "text/plain; version=0.0.4"

// quantiles are the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Counter returns the counter with the given name and labels, which it adds to the
// process's registry if needed. The labels are alternating keys and values; they
// are part of the counter's identity.
func Counter(name string, labels ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(seriesName(name, labels), metrics.DefaultRegistry)
}

// Gauge returns the gauge with the given name and labels, as Counter does.
func Gauge(name string, labels ...string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(seriesName(name, labels), metrics.DefaultRegistry)
}

// Histogram returns the histogram with the given name and labels, as Counter does.
// The name states the unit of the values.
func Histogram(name string, labels ...string) metrics.Histogram {
	return metrics.GetOrRegister(seriesName(name, labels), newHistogram).(metrics.Histogram)
}

// CountRefusal counts a refused request under the reason for the refusal.
func CountRefusal(r contract.Reason) {
	Counter("refusals_total", "reason", string(r)).Inc(1)
}

// CountRetry counts a retry under the reason for it.
func CountRetry(reason string) {
	Counter("retries_total", "reason", reason).Inc(1)
}

// newHistogram returns a histogram whose sample favours recent values.
func newHistogram() metrics.Histogram {
	const reservoirSize, alpha = 1028, 0.015
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, alpha))
}

// seriesName returns the name of the series, followed by its labels in braces if it
// has any.
func seriesName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// Handler returns a handler that serves the process's registry in the text
// exposition format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		Write(w)
	})
}

// Write writes all series of the registry to w in the text exposition format,
// sorted by name.
func Write(w io.Writer) {
	var lines []string
	metrics.DefaultRegistry.Each(func(name string, m any) {
		lines = append(lines, render(namePrefix+name, m)...)
	})
	sort.Strings(lines)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// render returns the lines of a metric, none if its type is not supported.
func render(series string, m any) []string {
	switch v := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", series, v.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", series, v.Value())}
	case metrics.Histogram:
		return renderHistogram(series, v.Snapshot())
	}
	return nil
}

func renderHistogram(series string, h metrics.Histogram) []string {
	lines := []string{fmt.Sprintf("%s %d", withSuffix(series, "_count"), h.Count())}
	for _, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s %g", withLabel(series, "quantile", fmt.Sprint(q)), h.Percentile(q)))
	}
	return lines
}

// withSuffix returns series with suffix appended to the name, before the labels.
func withSuffix(series, suffix string) string {
	if i := strings.IndexByte(series, '{'); i >= 0 {
		return series[:i] + suffix + series[i:]
	}
	return series + suffix
}

// withLabel returns series with one more label.
func withLabel(series, key, value string) string {
	label := fmt.Sprintf("%s=%q", key, value)
	if strings.HasSuffix(series, "}") {
		return strings.TrimSuffix(series, "}") + "," + label + "}"
	}
	return series + "{" + label + "}"
}
