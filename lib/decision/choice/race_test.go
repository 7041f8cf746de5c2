package choice

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// vanishing is a set of candidates that all lose their weight after a number of
// reads, as when a node begins to leave while the policy picks.
type vanishing struct {
	instances
	reads int
}

func (v *vanishing) At(i int) Candidate {
	c := v.cs[i]
	if v.reads--; v.reads < 0 {
		c.Weight = 0
	}
	return c
}

// TestVanishingCandidates guards against a crash of the node when the last
// candidates lose their weight between the two samples of a choice. The crash
// occurred in a run of 200 stops.
func TestVanishingCandidates(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for reads := range 8 {
		i := TwoChoices{}.Pick(epoch, rng, &vanishing{*equalCandidates(3, 3), reads})
		is.True(i < 3)
	}
}
