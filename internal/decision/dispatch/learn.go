package dispatch

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Bounds of the run-time estimate.
const (
	buckets       = 64
	perOctave     = 3                      // buckets for each doubling, a resolution of 26%
	shortest      = 250 * time.Microsecond // upper end of the first bucket
	forgetting    = 1.0 / 512              // weight of the latest run time once many are known
	fewestSamples = 16                     // below it a kind is not called long
	mostKinds     = 256                    // further kinds share one estimate
)

// Runtimes is a quantile estimate of run times that forgets old ones exponentially.
type Runtimes struct {
	weights [buckets]float32
	count   int
	mean    float64 // nanoseconds
}

// With returns a copy that has learned d.
func (r Runtimes) With(d time.Duration) Runtimes {
	r.count++
	alpha := max(forgetting, 1/float64(r.count))
	for i := range r.weights {
		r.weights[i] *= float32(1 - alpha)
	}
	r.weights[bucket(d)] += float32(alpha)
	r.mean += alpha * (float64(d) - r.mean)
	return r
}

// Quantile returns the run time that the given share of work does not exceed, 0 when nothing is known.
func (r Runtimes) Quantile(share float64) time.Duration {
	if r.count == 0 {
		return 0
	}
	sum := 0.0
	for i, w := range r.weights {
		sum += float64(w)
		if sum >= share {
			return time.Duration(float64(shortest) * math.Exp2((float64(i)-0.5)/perOctave))
		}
	}
	return time.Duration(float64(shortest) * math.Exp2(float64(buckets)/perOctave))
}

// Mean returns the mean run time.
func (r Runtimes) Mean() time.Duration {
	return time.Duration(r.mean)
}

func bucket(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	return min(buckets-1, int(math.Ceil(perOctave*math.Log2(float64(d)/float64(shortest)))))
}

// knowledge is what the owner has learned about run times.
type knowledge struct {
	kinds  *immutable.Map[string, Runtimes]
	all    Runtimes
	median time.Duration // of all kinds
}

func newKnowledge() knowledge {
	return knowledge{kinds: immutable.NewMap[string, Runtimes](stringHasher{})}
}

// otherKinds is the name under which kinds beyond mostKinds are learned together.
const otherKinds = "other"

func (k knowledge) kind(name string) (string, Runtimes) {
	r, ok := k.kinds.Get(name)
	if !ok && k.kinds.Len() >= mostKinds {
		name = otherKinds
		r, _ = k.kinds.Get(name)
	}
	return name, r
}

// With returns a copy that has learned the run time of a kind.
func (k knowledge) With(name string, d time.Duration) knowledge {
	name, r := k.kind(name)
	k.kinds = k.kinds.Set(name, r.With(d))
	k.all = k.all.With(d)
	k.median = k.all.Quantile(0.5)
	return k
}

// Size returns whether a kind is long; an unknown kind is short.
func (k knowledge) Size(name string, factor float64) size {
	_, r := k.kind(name)
	if r.count >= fewestSamples && float64(r.Quantile(0.9)) > factor*float64(k.median) {
		return long
	}
	return short
}

// Work returns the expected run time of a kind, that of the service for an unknown one.
func (k knowledge) Work(name string) time.Duration {
	_, r := k.kind(name)
	if r.count == 0 {
		return k.all.Mean()
	}
	return r.Mean()
}
