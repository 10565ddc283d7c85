package metrics

import (
	"fmt"
	"math"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// exporter is a tally reporter that keeps the current values and serves them in the Prometheus text format.
type exporter struct {
	mu       sync.Mutex
	families map[string]*family
}

// family contains the series of one metric name.
type family struct {
	kind   string // counter, gauge or histogram
	series map[string]*series
}

// series contains the values for one set of tags.
type series struct {
	value   float64
	buckets map[float64]int64 // sample counts by upper bound, of durations in seconds; for histograms
}

func newExporter() *exporter { return &exporter{families: map[string]*family{}} }

func (e *exporter) series(name, kind string, tags map[string]string) *series {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.families[name]
	if !ok {
		f = &family{kind: kind, series: map[string]*series{}}
		e.families[name] = f
	}
	key := labels(tags)
	s, ok := f.series[key]
	if !ok {
		s = &series{buckets: map[float64]int64{}}
		f.series[key] = s
	}
	return s
}

// labels formats the tags as labels, without braces.
func labels(tags map[string]string) string {
	names := make([]string, 0, len(tags))
	for name := range tags {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = name + "=" + strconv.Quote(tags[name])
	}
	return strings.Join(parts, ",")
}

// seriesHandle receives the reports of tally for one series.
type seriesHandle struct {
	exporter *exporter
	series   *series
}

// ReportCount implements tally.CachedCount.
func (h seriesHandle) ReportCount(delta int64) {
	h.exporter.mu.Lock()
	defer h.exporter.mu.Unlock()
	h.series.value += float64(delta)
}

// ReportGauge implements tally.CachedGauge.
func (h seriesHandle) ReportGauge(value float64) {
	h.exporter.mu.Lock()
	defer h.exporter.mu.Unlock()
	h.series.value = value
}

// ReportTimer implements tally.CachedTimer. It does nothing: durations are registered as histograms, not as timers.
func (h seriesHandle) ReportTimer(time.Duration) {}

// ValueBucket implements tally.CachedHistogram.
func (h seriesHandle) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		return bucket{h, math.Inf(1)}
	}
	return bucket{h, upper}
}

// DurationBucket implements tally.CachedHistogram.
func (h seriesHandle) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return bucket{h, math.Inf(1)}
	}
	return bucket{h, upper.Seconds()}
}

// bucket is one bucket of a histogram.
type bucket struct {
	seriesHandle
	upper float64 // of durations in seconds
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b bucket) ReportSamples(count int64) {
	b.exporter.mu.Lock()
	defer b.exporter.mu.Unlock()
	b.series.buckets[b.upper] += count
}

// AllocateCounter implements tally.CachedStatsReporter.
func (e *exporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return seriesHandle{e, e.series(name, "counter", tags)}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (e *exporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return seriesHandle{e, e.series(name, "gauge", tags)}
}

// AllocateTimer implements tally.CachedStatsReporter.
func (e *exporter) AllocateTimer(string, map[string]string) tally.CachedTimer {
	return seriesHandle{e, &series{}}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (e *exporter) AllocateHistogram(
	name string, tags map[string]string, buckets tally.Buckets,
) tally.CachedHistogram {
	s := e.series(name, "histogram", tags)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, upper := range buckets.AsDurations() { // a bound that is no duration counts as seconds
		s.buckets[upper.Seconds()] += 0
	}
	return seriesHandle{e, s}
}

// Capabilities implements tally.CachedStatsReporter.
func (e *exporter) Capabilities() tally.Capabilities { return e }

// Reporting implements tally.Capabilities.
func (e *exporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (e *exporter) Tagging() bool { return true }

// Flush implements tally.CachedStatsReporter.
func (e *exporter) Flush() {}

// ServeHTTP serves a scrape request.
func (e *exporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write([]byte(e.text())) // fails only if the connection broke
}

func (e *exporter) text() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.families))
	for name := range e.families {
		names = append(names, name)
	}
	sort.Strings(names)
	var out strings.Builder
	for _, name := range names {
		e.families[name].write(&out, name)
	}
	return out.String()
}

func (f *family) write(out *strings.Builder, name string) {
	fmt.Fprintf(out, "# TYPE %s %s\n", name, f.kind)
	keys := make([]string, 0, len(f.series))
	for key := range f.series {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if f.kind == "histogram" {
			f.series[key].writeHistogram(out, name, key)
		} else {
			fmt.Fprintf(out, "%s%s %s\n", name, withBraces(key), formatValue(f.series[key].value))
		}
	}
}

func (s *series) writeHistogram(out *strings.Builder, name, key string) {
	bounds := make([]float64, 0, len(s.buckets))
	for bound := range s.buckets {
		if !math.IsInf(bound, 1) {
			bounds = append(bounds, bound)
		}
	}
	sort.Float64s(bounds)
	var total int64
	for _, bound := range append(bounds, math.Inf(1)) {
		total += s.buckets[bound]
		fmt.Fprintf(out, "%s_bucket%s %d\n", name, withBraces(joinLabels(key, `le="`+formatValue(bound)+`"`)), total)
	}
	fmt.Fprintf(out, "%s_count%s %d\n", name, withBraces(key), total)
}

func joinLabels(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

func withBraces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

func formatValue(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}
