package runtimes

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"
)

// Bounds of the state.
const (
	MaxImages  = 256 // the one that was not observed for the longest time is evicted
	maxSamples = 31  // latest run times of an image
)

// Rules by which what was observed replaces an estimate.
const (
	MinSamples = 8           // that are not older than MaxAge
	MaxAge     = time.Minute // of a run time that counts; what an image does may change
)

// State holds what is known of the images. It is immutable.
type State struct {
	images *immutable.Map[string, image]
}

// New returns a state that knows no image.
func New() State { return State{images: immutable.NewMap[string, image](nil)} }

// image holds the latest run times of an image. It is immutable.
type image struct {
	samples []sample // the latest first
	runTime distribution
	ratio   distribution // of run times to estimates
}

// sample is an observed run, in logarithms.
type sample struct {
	at      time.Duration
	runTime float64
	ratio   float64
}

// distribution describes the logarithms of observed values.
type distribution struct {
	median float64
	spread float64 // median absolute deviation
}

// WithRun returns a copy after a task that had an estimate has run for a time and is done.
func (s State) WithRun(now time.Duration, name string, runTime, estimate time.Duration) State {
	if name == "" || runTime <= 0 || estimate <= 0 {
		return s
	}
	known, ok := s.images.Get(name)
	if !ok && s.images.Len() >= MaxImages {
		s = s.withoutOldest()
	}
	latest := sample{at: now, runTime: math.Log(runTime.Seconds()), ratio: math.Log(runTime.Seconds() / estimate.Seconds())}
	im := image{samples: make([]sample, 1, min(len(known.samples)+1, maxSamples))}
	im.samples[0] = latest
	for _, x := range known.samples {
		if len(im.samples) < maxSamples && now-x.at <= MaxAge {
			im.samples = append(im.samples, x)
		}
	}
	im.runTime = distributionOf(im.samples, func(x sample) float64 { return x.runTime })
	im.ratio = distributionOf(im.samples, func(x sample) float64 { return x.ratio })
	s.images = s.images.Set(name, im)
	return s
}

func (s State) withoutOldest() State {
	oldest, at := "", time.Duration(math.MaxInt64)
	for i := s.images.Iterator(); !i.Done(); {
		if name, im, _ := i.Next(); im.samples[0].at < at {
			oldest, at = name, im.samples[0].at
		}
	}
	s.images = s.images.Delete(oldest)
	return s
}

func distributionOf(samples []sample, value func(sample) float64) distribution {
	var buffer [maxSamples]float64
	values := buffer[:len(samples)]
	for i, x := range samples {
		values[i] = value(x)
	}
	d := distribution{median: median(values)}
	for i := range values {
		values[i] = math.Abs(values[i] - d.median)
	}
	d.spread = median(values)
	return d
}

// median sorts values and returns the one in the middle.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// Predict returns how long a task of an image is expected to run that has an estimate. The median run time of the image, and
// the estimate times the median ratio of run time to estimate, are weighed by how little each varies from task to task: an
// image may do different work each time, and some callers estimate well. It is the estimate if there is none, or if too few
// tasks of the image have ended lately.
func (s State) Predict(now time.Duration, name string, estimate time.Duration) time.Duration {
	im, ok := s.images.Get(name)
	if estimate <= 0 || !ok || !im.known(now) {
		return estimate
	}
	known, estimated := im.runTime.weight(), im.ratio.weight()
	return seconds(math.Exp((known*im.runTime.median + estimated*(math.Log(estimate.Seconds())+im.ratio.median)) / (known + estimated)))
}

// minSpread is the least spread, so that equal run times do not get an unbounded weight.
const minSpread = 0.02

// weight returns the weight of a prediction by the median.
func (d distribution) weight() float64 {
	s := max(d.spread, minSpread)
	return 1 / (s * s)
}

// known reports whether enough tasks have ended lately.
func (im image) known(now time.Duration) bool {
	return len(im.samples) >= MinSamples && now-im.samples[MinSamples-1].at <= MaxAge
}

// maxRunTime keeps sums of run times within the range of a time.Duration.
const maxRunTime = 366 * 24 * time.Hour

func seconds(x float64) time.Duration {
	return time.Duration(min(x, maxRunTime.Seconds()) * float64(time.Second))
}

// Image describes what is known of an image.
type Image struct {
	Name    string        `json:"image"`
	RunTime time.Duration `json:"runTime"` // median
	Spread  float64       `json:"spread"`  // median deviation of the run times, as a factor
	Ratio   float64       `json:"ratio"`   // median ratio of run time to estimate
	Error   float64       `json:"error"`   // median deviation of the ratios, as a factor
}

// Images returns the images of which enough tasks have ended lately, ordered by name.
func (s State) Images(now time.Duration) []Image {
	round := func(x float64) float64 { return math.Round(math.Exp(x)*100) / 100 }
	list := []Image{}
	for i := s.images.Iterator(); !i.Done(); {
		if name, im, _ := i.Next(); im.known(now) {
			list = append(list, Image{
				Name: name, RunTime: seconds(math.Exp(im.runTime.median)).Round(time.Millisecond),
				Spread: round(im.runTime.spread), Ratio: round(im.ratio.median), Error: round(im.ratio.spread),
			})
		}
	}
	slices.SortFunc(list, func(a, b Image) int { return strings.Compare(a.Name, b.Name) })
	return list
}
