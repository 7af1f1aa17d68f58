package retry

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and resolution of the histogram of a kind of call.
const (
	minLatency         = time.Millisecond
	maxLatency         = 4 * time.Second
	significantFigures = 2
	// histogramWindows histograms of answersPerWindow answers each cover the recent past.
	histogramWindows = 4
	answersPerWindow = 256
	// answersPerQuantile is the number of answers after which the quantile is computed
	// anew.
	answersPerQuantile = 64
)

// Parameters of the deadline of a try.
const (
	latencyQuantile = 95
	// kindMargin and calleeMargin are the ratios of the deadline to the quantile of the
	// kind and to the median of the callee.
	kindMargin   = 3
	calleeMargin = 4
	// MinTryDeadline and MaxTryDeadline bound the deadline. The upper one holds until
	// minAnswers answers are known.
	MinTryDeadline = 30 * time.Millisecond
	MaxTryDeadline = 450 * time.Millisecond
	minAnswers     = answersPerQuantile
)

// Latencies holds how long calls took to be answered, by kind and by callee. Its
// methods are not safe for concurrent use.
type Latencies struct {
	kinds   map[string]*kindLatency
	callees map[calleeKind]*calleeLatency
}

type calleeKind struct{ kind, callee string }

// kindLatency holds the recent latencies of a kind of call to all callees.
type kindLatency struct {
	window *hdrhistogram.WindowedHistogram
	// answers is the number of answers so far.
	answers int
	// quantile is the latencyQuantile as of the last multiple of answersPerQuantile.
	quantile time.Duration
}

// calleeLatency is a ring of the last latencies of a callee.
type calleeLatency struct {
	last  [5]time.Duration
	count int
}

// NewLatencies returns a record without answers.
func NewLatencies() *Latencies {
	return &Latencies{kinds: map[string]*kindLatency{}, callees: map[calleeKind]*calleeLatency{}}
}

// Observe records that a call was answered. Latencies outside the range of the histogram
// count as its bounds.
func (lat *Latencies) Observe(kind, callee string, took time.Duration) (err error) {
	took = min(max(took, minLatency), maxLatency)
	kil := lat.kinds[kind]
	if kil == nil {
		kil = &kindLatency{window: hdrhistogram.NewWindowed(histogramWindows, minLatency.Microseconds(), maxLatency.Microseconds(), significantFigures)}
		lat.kinds[kind] = kil
	}
	if err := kil.observe(took); err != nil {
		return err
	}
	key := calleeKind{kind, callee}
	cal := lat.callees[key]
	if cal == nil {
		cal = &calleeLatency{}
		lat.callees[key] = cal
	}
	cal.last[cal.count%len(cal.last)] = took
	cal.count++
	return nil
}

func (kil *kindLatency) observe(took time.Duration) error {
	if kil.answers%answersPerWindow == 0 && kil.answers > 0 {
		kil.window.Rotate()
	}
	kil.answers++
	if err := kil.window.Current.RecordValue(took.Microseconds()); err != nil {
		return err
	}
	if kil.answers%answersPerQuantile == 0 {
		kil.quantile = time.Duration(kil.window.Merge().ValueAtQuantile(latencyQuantile)) * time.Microsecond
	}
	return nil
}

// median returns the median of the last latencies.
func (cal *calleeLatency) median() time.Duration {
	known := slices.Clone(cal.last[:min(cal.count, len(cal.last))])
	slices.Sort(known)
	return known[len(known)/2]
}

// TryDeadline returns the time without an answer after which a call may be repeated.
func (lat *Latencies) TryDeadline(kind, callee string) time.Duration {
	kil := lat.kinds[kind]
	if kil == nil || kil.answers < minAnswers {
		return MaxTryDeadline
	}
	span := kindMargin * kil.quantile
	if cal := lat.callees[calleeKind{kind, callee}]; cal != nil {
		span = max(span, calleeMargin*cal.median())
	}
	return min(max(span, MinTryDeadline), MaxTryDeadline)
}

// Forget drops what is known of a callee.
func (lat *Latencies) Forget(callee string) {
	for key := range lat.callees {
		if key.callee == callee {
			delete(lat.callees, key)
		}
	}
}
