package interference

import (
	"math"
	"slices"
	"time"
)

// filter estimates the level of an image and the effects of its neighbours together, as a Kalman filter. Value 0 is the level,
// the others are the effects, in the order of the pairs. It is immutable except for the copy that learn makes.
//
// The covariances matter: neighbours that often run together, or a level that rises while a neighbour starts, can't be told
// apart by single observations.
type filter struct {
	means       []float64
	covariances []float64 // a square matrix
}

func (f filter) size() int { return len(f.means) }

func (f filter) variance(i int) float64 { return f.covariances[i*f.size()+i] }

func (f filter) clone() filter {
	return filter{means: slices.Clone(f.means), covariances: slices.Clone(f.covariances)}
}

// withValue returns a copy with a further value.
func (f filter) withValue(mean, variance float64) filter {
	n := f.size()
	g := filter{means: append(slices.Clone(f.means), mean), covariances: make([]float64, (n+1)*(n+1))}
	for i := range n {
		copy(g.covariances[i*(n+1):], f.covariances[i*n:(i+1)*n])
	}
	g.covariances[n*(n+1)+n] = variance
	return g
}

// reset makes a value independent of the others.
func (f filter) reset(i int, mean, variance float64) {
	n := f.size()
	for j := range n {
		f.covariances[i*n+j], f.covariances[j*n+i] = 0, 0
	}
	f.means[i], f.covariances[i*n+i] = mean, variance
}

// age applies the drift of the values while a time passes.
func (f filter) age(elapsed time.Duration) {
	n := f.size()
	for i := range n {
		d := pairDrift
		if i == 0 {
			d = serviceDrift
		} else {
			f.means[i] *= math.Exp(-elapsed.Seconds() / d.decay.Seconds())
		}
		v := f.variance(i) + d.growth*elapsed.Seconds()
		f.covariances[i*n+i] = v
		if v <= d.prior {
			continue
		}
		scale := math.Sqrt(d.prior / v)
		for j := range n {
			f.covariances[i*n+j] *= scale
			f.covariances[j*n+i] *= scale
		}
	}
}

// spread returns the covariance of each value with the sum of all values, multiplied by their coefficients, and the variance
// of that sum.
func (f filter) spread(coefficients []float64) (covariances []float64, variance float64) {
	n := f.size()
	covariances = make([]float64, n)
	for j, c := range coefficients {
		if c == 0 {
			continue
		}
		for i := range n {
			covariances[i] += f.covariances[i*n+j] * c
		}
	}
	for i, c := range coefficients {
		variance += c * covariances[i]
	}
	return covariances, variance
}

// update applies an observation of that sum with a residual and a total variance.
func (f filter) update(covariances []float64, residual, total float64) {
	n := f.size()
	for i := range n {
		f.means[i] += covariances[i] / total * residual
		for j := range n {
			f.covariances[i*n+j] -= covariances[i] * covariances[j] / total
		}
		if i > 0 {
			f.means[i] = min(max(f.means[i], minEffect), maxEffect)
		}
	}
}
