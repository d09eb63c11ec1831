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
func (r RunTimeHistogram) With(d time.Duration) RunTimeHistogram {
	r.count++
	alpha := max(minSampleWeight, 1/float64(r.count))
	for i := range r.weights {
		r.weights[i] *= float32(1 - alpha)
	}
	r.weights[bucketIndex(d)] += float32(alpha)
	r.mean += alpha * (float64(d) - r.mean)
	return r
}

// Quantile returns the run time that the given share of requests does not exceed, or 0 if none was recorded.
func (r RunTimeHistogram) Quantile(share float64) time.Duration {
	if r.count == 0 {
		return 0
	}
	sum := 0.0
	for i, w := range r.weights {
		sum += float64(w)
		if sum >= share {
			return time.Duration(float64(firstBucketEnd) * math.Exp2((float64(i)-0.5)/bucketsPerOctave))
		}
	}
	return time.Duration(float64(firstBucketEnd) * math.Exp2(float64(bucketCount)/bucketsPerOctave))
}

// Mean returns the mean run time.
func (r RunTimeHistogram) Mean() time.Duration {
	return time.Duration(r.mean)
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

func (k runTimes) lookup(name string) (string, RunTimeHistogram) {
	r, ok := k.kinds.Get(name)
	if !ok && k.kinds.Len() >= maxKinds {
		name = otherKinds
		r, _ = k.kinds.Get(name)
	}
	return name, r
}

// With returns a copy that includes a run time of a kind.
func (k runTimes) With(name string, d time.Duration) runTimes {
	name, r := k.lookup(name)
	k.kinds = k.kinds.Set(name, r.With(d))
	k.all = k.all.With(d)
	k.median = k.all.Quantile(0.5)
	return k
}

// Size returns whether a kind is short or long; an unknown kind is short.
func (k runTimes) Size(name string, factor float64) size {
	_, r := k.lookup(name)
	if r.count >= minSamples && float64(r.Quantile(0.9)) > factor*float64(k.median) {
		return long
	}
	return short
}

// ExpectedWork returns the expected run time of a kind, or the mean of the service for an unknown kind.
func (k runTimes) ExpectedWork(name string) time.Duration {
	_, r := k.lookup(name)
	if r.count == 0 {
		return k.all.Mean()
	}
	return r.Mean()
}
