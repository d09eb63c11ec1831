package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds of the state.
const (
	MaxImages     = 256 // the one that has not been started for the longest time is evicted
	maxNeighbours = 32  // learned about for an image; the one that was not observed for the longest time is evicted
	maxEvidence   = 4   // executors that a pair remembers
	slotBits      = 8
)

// ID identifies an image in a State. An evicted image doesn't get its ID back. 0 is no image.
type ID uint32

func (i ID) slot() int { return int(i & (1<<slotBits - 1)) }

// State holds what is known of the images. It is immutable; the zero value knows none.
type State struct {
	images     []*image // by slot
	ids        map[string]ID
	generation uint32
	learned    int
	costs      []*Costs // by slot; nil for an image without learned pairs
}

// image holds what is known of an image as one that is slowed down. It is immutable.
type image struct {
	id           ID
	name         string
	seen         time.Duration // last start
	serving      bool          // the last observation was of a tail latency
	values       filter        // level of the logarithm of its tail latency in ms, and the effects of the pairs
	noise        float64       // smoothed square of the residuals
	observations int
	weight       float64       // number of recent observations
	at           time.Duration // of the last observation
	pairs        []pair
}

// pair holds by how much a neighbour slows an image down.
type pair struct {
	neighbour ID
	count     int           // observations
	at        time.Duration // of the last one
	weight    float64       // number of recent observations
	amount    float64       // smoothed number of neighbours in these observations
	evidence  [maxEvidence]evidence
	learned   bool
	charged   float64 // effect in the costs
}

// evidence is what the observations on one executor say about a pair.
type evidence struct {
	executor string
	effect   float64
	count    int
	at       time.Duration
}

// Empty reports whether no image is known.
func (s State) Empty() bool { return len(s.ids) == 0 }

// Learned returns the number of learned pairs.
func (s State) Learned() int { return s.learned }

// refreshInterval is how exact the time of the last start of an image is.
const refreshInterval = time.Second

// WithImage returns a state that knows an image, of which a task is about to start, and its ID.
func (s State) WithImage(name string, now time.Duration) (State, ID) {
	if name == "" {
		return s, 0
	}
	if id, ok := s.ids[name]; ok {
		if im := s.images[id.slot()]; now-im.seen > refreshInterval {
			seen := *im
			seen.seen = now
			s = s.withImage(&seen)
		}
		return s, id
	}
	slot := len(s.images)
	if slot == MaxImages {
		oldest := slices.MinFunc(s.images, func(a, b *image) int { return cmp.Or(cmp.Compare(a.seen, b.seen), cmp.Compare(a.id, b.id)) })
		slot = oldest.id.slot()
		s = s.without(oldest)
	}
	s.generation++
	id := ID(s.generation<<slotBits | uint32(slot)) //nolint:gosec // a slot is less than MaxImages
	s.ids = maps.Clone(s.ids)
	if s.ids == nil {
		s.ids = map[string]ID{}
	}
	s.ids[name] = id
	im := &image{id: id, name: name, seen: now, noise: initialNoise, at: now, values: filter{}.withValue(0, 0)}
	if slot == len(s.images) {
		s.images = append(slices.Clip(s.images), im)
		s.costs = append(slices.Clip(s.costs), nil)
		return s, id
	}
	return s.withImage(im), id
}

func (s State) withImage(im *image) State {
	s.images = slices.Clone(s.images)
	s.images[im.id.slot()] = im
	return s
}

// without returns a state without what is known of an image, whose slot is about to be used for another one.
func (s State) without(evicted *image) State {
	s.ids = maps.Clone(s.ids)
	delete(s.ids, evicted.name)
	s.images = slices.Clone(s.images)
	for i, im := range s.images {
		if j := im.pairIndex(evicted.id); j >= 0 && im.id != evicted.id {
			rest := *im
			rest.pairs, rest.values = slices.Clone(im.pairs), im.values.clone()
			rest.pairs[j] = pair{at: im.pairs[j].at} // of no image, to be replaced
			rest.values.reset(j+1, 0, pairDrift.prior)
			s.images[i] = &rest
		}
	}
	s.images[evicted.id.slot()] = &image{id: evicted.id}
	s.costs = slices.Clone(s.costs)
	s.costs[evicted.id.slot()] = nil
	for slot, c := range s.costs {
		if c != nil && c.Beside(evicted.id) != 0 {
			s.setCost(s.images[slot].id, evicted.id, 0)
		}
	}
	s.learned = 0
	for _, im := range s.images {
		for _, p := range im.pairs {
			if p.learned {
				s.learned++
			}
		}
	}
	return s
}

// image returns an image that was not evicted, or nil.
func (s State) image(id ID) *image {
	if id == 0 || id.slot() >= len(s.images) || s.images[id.slot()].id != id {
		return nil
	}
	return s.images[id.slot()]
}

func (im *image) pairIndex(neighbour ID) int {
	return slices.IndexFunc(im.pairs, func(p pair) bool { return p.neighbour == neighbour })
}

// Slowing returns the logarithm of the factor by which a neighbour at full speed slows an image down, or 0 if that has not
// been learned.
func (s State) Slowing(im, neighbour ID) float64 {
	if s.learned == 0 {
		return 0
	}
	x := s.image(im)
	if x == nil {
		return 0
	}
	if i := x.pairIndex(neighbour); i >= 0 && x.pairs[i].learned {
		return x.values.means[i+1]
	}
	return 0
}

// Costs holds what it costs to place a task of one image beside a run of another one. It is immutable.
type Costs [MaxImages]struct {
	id   ID
	cost int32
}

// Beside returns the cost of one neighbour.
func (c *Costs) Beside(neighbour ID) int64 {
	if x := &c[neighbour.slot()]; x.id == neighbour {
		return int64(x.cost)
	}
	return 0
}

// Costs returns the costs of an image, or nil if none of its pairs is learned.
func (s State) Costs(id ID) *Costs {
	if s.learned == 0 || s.image(id) == nil {
		return nil
	}
	return s.costs[id.slot()]
}

// Costs per unit of the logarithm of a factor. A serving task that is slowed down misses its target, while a batch task only
// takes longer.
const (
	servingCost = 80
	batchCost   = 20
)

func (im *image) cost(p pair) float64 {
	if !p.learned {
		return 0
	}
	if im.serving {
		return servingCost * p.charged
	}
	return batchCost * p.charged
}

// withCost returns a state with the present costs between two images.
func (s State) withCost(a, b ID) State {
	x, y := s.image(a), s.image(b)
	if x == nil || y == nil {
		return s
	}
	sum := 0.0
	if i := x.pairIndex(b); i >= 0 {
		sum += x.cost(x.pairs[i])
	}
	if i := y.pairIndex(a); i >= 0 {
		sum += y.cost(y.pairs[i])
	}
	s.costs = slices.Clone(s.costs)
	s.setCost(a, b, sum)
	s.setCost(b, a, sum)
	return s
}

func (s State) setCost(im, neighbour ID, cost float64) {
	var c Costs
	if before := s.costs[im.slot()]; before != nil {
		c = *before
	}
	c[neighbour.slot()].id, c[neighbour.slot()].cost = neighbour, int32(math.Round(cost))
	s.costs[im.slot()] = &c
	for _, x := range c {
		if x.cost != 0 {
			return
		}
	}
	s.costs[im.slot()] = nil
}

// Pair is a learned pair of images.
type Pair struct {
	Image        string  `json:"image"`
	Neighbour    string  `json:"neighbour"`
	Serving      bool    `json:"serving"` // the tail latency of the image rises, not the run time
	Factor       float64 `json:"factor"`  // by which one neighbour at full speed slows the image down
	Low          float64 `json:"low"`     // one standard deviation below
	High         float64 `json:"high"`    // one standard deviation above
	Observations int     `json:"observations"`
	Executors    int     `json:"executors"` // on which it was observed, of the latest four
	Weight       float64 `json:"weight"`    // number of recent observations
}

// Pairs returns the learned pairs, those that slow down the most first.
func (s State) Pairs() []Pair {
	pairs := []Pair{}
	for _, im := range s.images {
		for i, p := range im.pairs {
			if n := s.image(p.neighbour); n != nil && p.learned {
				pairs = append(pairs, im.pair(i, n.name))
			}
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Image, b.Image), cmp.Compare(a.Neighbour, b.Neighbour))
	})
	return pairs
}

func (im *image) pair(i int, neighbour string) Pair {
	p, effect, sd := im.pairs[i], im.values.means[i+1], math.Sqrt(im.values.variance(i+1))
	executors := 0
	for _, w := range p.evidence {
		if w.count > 0 {
			executors++
		}
	}
	round := func(x float64) float64 { return math.Round(math.Exp(x)*100) / 100 }
	return Pair{
		Image: im.name, Neighbour: neighbour, Serving: im.serving, Factor: round(effect), Low: round(effect - sd), High: round(effect + sd),
		Observations: p.count, Executors: executors, Weight: math.Round(p.weight*10) / 10,
	}
}
