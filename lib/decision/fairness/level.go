package fairness

import (
	"math"
	"slices"
)

// Level returns the share up to which each demand is met if capacity is divided by
// max-min fairness, or infinity if all are met. It sorts demands.
func Level(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		level := capacity / float64(len(demands)-i)
		if d > level {
			return max(0, level)
		}
		capacity -= d
	}
	return math.Inf(1)
}
