package interference

import (
	"math"
	"slices"
	"time"
)

// Neighbours is the number of runs of an image beside a run, each multiplied by its speed.
type Neighbours struct {
	Image  ID
	Amount float64
}

// Observation is what was observed about a run.
//
//sumtype:decl
type Observation interface{ observation() }

// Tail is the reported tail latency of a serving task.
type Tail struct {
	Milliseconds float64
}

// End is the end of a batch task.
type End struct {
	Ratio float64 // of the run time to the estimate
	Step  Step    // from the tasks of its step that have ended before
}

// Step holds the means of what was observed about the tasks of a step. It is immutable. Their estimate is wrong in the same
// way, so that a task is compared with these means, which makes the differences independent of each other.
type Step struct {
	count   int
	value   float64 // logarithm of the ratio of run time to estimate, without the slowness of the executor
	amounts []Neighbours
}

// Count returns the number of tasks.
func (s Step) Count() int { return s.count }

// with returns a copy with another task.
func (s Step) with(value float64, neighbours []Neighbours) Step {
	s.count++
	share := 1 / float64(s.count)
	s.value += share * (value - s.value)
	s.amounts = slices.Clone(s.amounts)
	for i := range s.amounts {
		s.amounts[i].Amount *= 1 - share
	}
	for _, n := range neighbours {
		i := slices.IndexFunc(s.amounts, func(x Neighbours) bool { return x.Image == n.Image })
		if i < 0 {
			i, s.amounts = len(s.amounts), append(s.amounts, Neighbours{Image: n.Image})
		}
		s.amounts[i].Amount += share * n.Amount
	}
	return s
}

func (Tail) observation() {}
func (End) observation()  {}

// Run is the run that was observed.
type Run struct {
	Now        time.Duration
	Image      ID
	Executor   string
	Slowness   Belief // of the executor, from earlier observations on it
	Neighbours []Neighbours
}

// Result is what an observation tells about the executor and the step, for later observations, and which pairs have been
// learned or forgotten by it.
type Result struct {
	Slowness Belief
	Step     Step
	Changes  []Change
}

// Change tells that a pair was learned, or forgotten.
type Change struct {
	Pair
	Learned bool
}

// Noise of the observations, in squares of logarithms. The reported tail latency covers half a second, and the end of a
// batch task is reported up to 0.2 s late, which is a third of the run time of short ones.
const (
	minNoise     = 0.03
	initialNoise = 0.1
	maxNoise     = 1.0
	noiseWeight  = 0.03 // of the latest residual
	// The load of a task varies slowly compared to the reports, so that successive residuals are alike.
	autocorrelation = 2.5
)

// Rules by which a pair is learned or forgotten.
const (
	recent        = 20 * time.Second // by which the weight of an observation falls to 1/e
	minWeight     = 6                // observations with the neighbour
	minContrast   = 3                // observations without it, since otherwise the level alone may have changed
	minExecutors  = 2                // executors, since a single one may be slow by itself
	minEvidence   = 2                // observations on an executor
	evidenceAge   = 40 * time.Second
	learnedMargin = 2.5 // standard deviations
	forgetMargin  = 1.0
	minAmount     = 0.25 // below it, an observation says little about a neighbour
	chargeStep    = 0.15 // change of an effect that is worth new costs
)

var (
	learnedEffect = math.Log(1.1)
	forgetEffect  = math.Log(1.05)
)

// Limits of a mean effect. A neighbour doesn't speed an image up; a small negative value keeps noise from adding up.
const (
	minEffect = -0.1
	maxEffect = 3
)

// Observe returns the state after an observation. Observations of images that were evicted change nothing.
func Observe(s State, r Run, o Observation) (State, Result) {
	known := s.image(r.Image)
	result := Result{Slowness: r.Slowness}
	if known == nil {
		return s, result
	}
	im := *known
	elapsed := max(0, r.Now-im.at)
	im.at, im.weight = r.Now, im.weight*fade(elapsed)+1
	im.values, im.pairs = im.values.clone(), slices.Clone(im.pairs)
	im.values.age(elapsed)
	im.addPairs(s, r)
	var changed []ID
	switch o := o.(type) {
	case Tail:
		im.serving = true
		value := math.Log(max(o.Milliseconds, 0.01))
		if im.observations == 0 {
			im.observations = 1
			im.values.reset(0, value, serviceDrift.prior) // it may contain any effects
			break
		}
		coefficients := im.coefficients(r.Neighbours)
		coefficients[0] = 1
		result.Slowness, changed = im.learn(r, value, coefficients, im.noise, elapsed)
	case End:
		im.serving = false
		value := math.Log(min(max(o.Ratio, 0.01), 100))
		if o.Step.count > 0 {
			coefficients := im.coefficients(r.Neighbours)
			for i, mean := range im.coefficients(o.Step.amounts) {
				coefficients[i] -= mean
			}
			result.Slowness, changed = im.learn(r, value-o.Step.value, coefficients, im.noise*(1+1/float64(o.Step.count)), elapsed)
		}
		result.Step = o.Step.with(value-result.Slowness.mean, r.Neighbours)
	default:
		panic("interference: unhandled observation")
	}
	s = s.withImage(&im)
	for _, id := range changed {
		i := im.pairIndex(id)
		if was := known.pairIndex(id); im.pairs[i].learned != (was >= 0 && known.pairs[was].learned) {
			s = s.withLearned(im.pairs[i].learned)
			result.Changes = append(result.Changes, Change{Pair: im.pair(i, s.image(id).name), Learned: im.pairs[i].learned})
		}
		s = s.withCost(im.id, id)
	}
	return s, result
}

func (s State) withLearned(learned bool) State {
	if learned {
		s.learned++
	} else {
		s.learned--
	}
	return s
}

// fade returns what is left of the weight of an observation.
func fade(elapsed time.Duration) float64 { return math.Exp(-elapsed.Seconds() / recent.Seconds()) }

// coefficients returns the amounts of neighbours in the order of the values.
func (im *image) coefficients(neighbours []Neighbours) []float64 {
	c := make([]float64, im.values.size())
	for _, n := range neighbours {
		if i := im.pairIndex(n.Image); i >= 0 {
			c[i+1] = n.Amount
		}
	}
	return c
}

// learn divides the difference between the observed and the expected value among the level, the slowness of the executor and the
// effects of the neighbours, in proportion to their variances. It returns the neighbours whose costs have changed.
func (im *image) learn(r Run, value float64, coefficients []float64, noise float64, elapsed time.Duration) (Belief, []ID) {
	slowness := r.Slowness.after(r.Now, slownessDrift)
	covariances, variance := im.values.spread(coefficients)
	total := noise + variance + slowness.variance
	residual := value - slowness.mean
	for i, c := range coefficients {
		residual -= c * im.values.means[i]
	}
	limit := 3 * math.Sqrt(total) // of the influence of a single outlier
	residual = min(max(residual, -limit), limit)
	im.observations = min(im.observations+1, maxCount)
	share := max(noiseWeight, 1/float64(im.observations+3))
	sample := (residual*residual - variance - slowness.variance) * im.noise / noise
	im.noise = min(max(im.noise+share*(autocorrelation*sample-im.noise), minNoise), maxNoise)
	im.values.update(covariances, residual, total)
	amounts := im.coefficients(r.Neighbours)
	var changed []ID
	for i := range im.pairs {
		p := &im.pairs[i]
		p.weight *= fade(elapsed)
		if amounts[i+1] > 0 {
			p.observe(r, amounts[i+1])
			if c := coefficients[i+1]; c > minAmount {
				p.addEvidence(r, im.values.means[i+1]+residual*noise/total/c)
			}
		}
		if p.review(im.values.means[i+1], math.Sqrt(im.values.variance(i+1)), im.weight, r.Now) {
			changed = append(changed, p.neighbour)
		}
	}
	return slowness.updated(1, residual, total), changed
}

// addPairs adds the pairs with neighbours of a run that have none yet.
func (im *image) addPairs(s State, r Run) {
	for _, n := range r.Neighbours {
		if n.Amount <= 0 || s.image(n.Image) == nil || im.pairIndex(n.Image) >= 0 {
			continue
		}
		p := pair{neighbour: n.Image, at: r.Now}
		if len(im.pairs) < maxNeighbours {
			im.pairs = append(im.pairs, p)
			im.values = im.values.withValue(0, pairDrift.prior)
			continue
		}
		oldest := -1
		for i, x := range im.pairs {
			if !x.learned && r.Now-x.at > recent && (oldest < 0 || x.at < im.pairs[oldest].at) {
				oldest = i
			}
		}
		if oldest >= 0 {
			im.pairs[oldest] = p
			im.values.reset(oldest+1, 0, pairDrift.prior)
		}
	}
}

// observe adds an observation of a pair.
func (p *pair) observe(r Run, amount float64) {
	const smoothing = 0.1
	if p.count == 0 {
		p.amount = amount
	}
	p.amount += smoothing * (amount - p.amount)
	p.weight++
	p.count, p.at = min(p.count+1, maxCount), r.Now
}

// addEvidence adds what an observation says about the pair to the evidence from its executor, or to a new one in place of that which
// was not observed for the longest time.
func (p *pair) addEvidence(r Run, effect float64) {
	const smoothing = 0.25
	at := 0
	for i, w := range p.evidence {
		if w.executor == r.Executor {
			at = i
			break
		}
		if w.at < p.evidence[at].at || w.count == 0 && p.evidence[at].count > 0 {
			at = i
		}
	}
	w := &p.evidence[at]
	if w.executor != r.Executor || r.Now-w.at > evidenceAge {
		*w = evidence{executor: r.Executor, effect: effect}
	}
	w.effect += smoothing * (effect - w.effect)
	w.count, w.at = min(w.count+1, maxCount), r.Now
}

// confirmed reports whether several executors, and most of them, show at least half of the effect.
func (p *pair) confirmed(effect float64, now time.Duration) bool {
	agree, disagree := 0, 0
	for _, w := range p.evidence {
		if w.count < minEvidence || now-w.at > evidenceAge {
			continue
		}
		if w.effect > effect/2 {
			agree++
		} else {
			disagree++
		}
	}
	return agree >= minExecutors && agree > disagree
}

// review decides whether the pair is learned, and reports whether its costs change.
func (p *pair) review(effect, deviation, observations float64, now time.Duration) bool {
	scale := max(1, p.amount)
	before := p.learned
	switch {
	case p.learned:
		p.learned = effect*scale > forgetEffect && effect > forgetMargin*deviation
	default:
		p.learned = p.weight >= minWeight && observations-p.weight >= minContrast &&
			(effect-learnedMargin*deviation)*scale > learnedEffect && p.confirmed(effect, now)
	}
	if p.learned == before && (!p.learned || math.Abs(effect-p.charged) < chargeStep) {
		return false
	}
	p.charged = effect
	return true
}

// Expire returns a state without the learned pairs that have not been observed for too long.
func Expire(s State, now time.Duration) (State, []Change) {
	var changes []Change
	if s.learned == 0 {
		return s, nil
	}
	for _, known := range s.images {
		if !slices.ContainsFunc(known.pairs, func(p pair) bool { return p.learned }) {
			continue
		}
		im := *known
		im.values, im.pairs = im.values.clone(), slices.Clone(im.pairs)
		elapsed := max(0, now-im.at)
		im.values.age(elapsed)
		im.at, im.weight = now, im.weight*fade(elapsed)
		s = s.withImage(&im)
		for i := range im.pairs {
			p := &im.pairs[i]
			p.weight *= fade(elapsed)
			if !p.learned || !p.review(im.values.means[i+1], math.Sqrt(im.values.variance(i+1)), 0, now) {
				continue
			}
			if n := s.image(p.neighbour); n != nil && !p.learned {
				s = s.withLearned(false)
				changes = append(changes, Change{Pair: im.pair(i, n.name)})
			}
			s = s.withCost(im.id, p.neighbour)
		}
	}
	return s, changes
}
