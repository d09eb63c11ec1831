package platform

// Point is a value measured with a number of entry instances.
type Point struct {
	Entries int
	Value   float64
}

// Slope returns the increase of a value per entry instance, by least squares.
func Slope(points []Point) float64 {
	n := float64(len(points))
	var x, y, xx, xy float64
	for _, p := range points {
		e, v := float64(p.Entries), p.Value
		x += e
		y += v
		xx += e * e
		xy += e * v
	}
	spread := n*xx - x*x
	if spread == 0 {
		return 0
	}
	return (n*xy - x*y) / spread
}
