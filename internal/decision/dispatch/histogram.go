package dispatch

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Parameters of the run-time estimate.
const (
	bucketCount      = 64
	bucketsPerOctave = 3                      // buckets for each doubling, a resolution of 26%
	firstBucketEnd   = 250 * time.Microsecond // upper bound of the first bucket
	minSampleWeight  = 1.0 / 512              // weight of the latest run time once 512 are known
	minSamples       = 16                     // a kind with fewer run times is not long
	maxKinds         = 256                    // further kinds share one estimate
)

// RunTimeHistogram is a histogram of run times in which old ones decay exponentially.
type RunTimeHistogram struct {
	weights [bucketCount]float32
	count   int
	mean    float64 // nanoseconds
}

// With returns a copy that includes the run time d.
func (h RunTimeHistogram) With(d time.Duration) RunTimeHistogram {
	h.count++
	alpha := max(minSampleWeight, 1/float64(h.count))
	for i := range h.weights {
		h.weights[i] *= float32(1 - alpha)
	}
	h.weights[bucketIndex(d)] += float32(alpha)
	h.mean += alpha * (float64(d) - h.mean)
	return h
}

// Quantile returns the run time that the given share of requests does not exceed, or 0 if none was recorded.
func (h RunTimeHistogram) Quantile(share float64) time.Duration {
	if h.count == 0 {
		return 0
	}
	sum := 0.0
	for i, w := range h.weights {
		sum += float64(w)
		if sum >= share {
			return time.Duration(float64(firstBucketEnd) * math.Exp2((float64(i)-0.5)/bucketsPerOctave))
		}
	}
	return time.Duration(float64(firstBucketEnd) * math.Exp2(float64(bucketCount)/bucketsPerOctave))
}

// Mean returns the mean run time.
func (h RunTimeHistogram) Mean() time.Duration {
	return time.Duration(h.mean)
}

func bucketIndex(d time.Duration) int {
	if d <= firstBucketEnd {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(bucketsPerOctave*math.Log2(float64(d)/float64(firstBucketEnd)))))
}

// runTimes holds the run-time histograms of a service by kind of request.
type runTimes struct {
	kinds  *immutable.Map[string, RunTimeHistogram]
	all    RunTimeHistogram
	median time.Duration // over all kinds
}

func newRunTimes() runTimes {
	return runTimes{kinds: immutable.NewMap[string, RunTimeHistogram](stringHasher{})}
}

// otherKinds is the kind under which the run times of all kinds beyond maxKinds are recorded.
const otherKinds = "other"

// lookup returns the name under which a kind is recorded and its histogram. The name is otherKinds for a new kind once
// there are maxKinds.
func (r runTimes) lookup(name string) (string, RunTimeHistogram) {
	h, ok := r.kinds.Get(name)
	if !ok && r.kinds.Len() >= maxKinds {
		name = otherKinds
		h, _ = r.kinds.Get(name)
	}
	return name, h
}

// With returns a copy that includes a run time of a kind.
func (r runTimes) With(name string, d time.Duration) runTimes {
	name, h := r.lookup(name)
	r.kinds = r.kinds.Set(name, h.With(d))
	r.all = r.all.With(d)
	r.median = r.all.Quantile(0.5)
	return r
}

// Size returns whether a kind is short or long; an unknown kind is short.
func (r runTimes) Size(name string, factor float64) size {
	_, h := r.lookup(name)
	if h.count >= minSamples && float64(h.Quantile(0.9)) > factor*float64(r.median) {
		return long
	}
	return short
}

// ExpectedWork returns the expected run time of a kind, or the mean of the service for an unknown kind.
func (r runTimes) ExpectedWork(name string) time.Duration {
	_, h := r.lookup(name)
	if h.count == 0 {
		return r.all.Mean()
	}
	return h.Mean()
}
