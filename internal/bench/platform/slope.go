package platform

// Slope returns the increase of a load per entry instance, by least squares over the loads.
func Slope(loads []Load, of func(Load) float64) float64 {
	n := float64(len(loads))
	var x, y, xx, xy float64
	for _, l := range loads {
		e, v := float64(l.Entries), of(l)
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
