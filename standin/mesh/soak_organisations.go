package mesh

import (
	"fmt"
	"slices"
	"time"
)

const (
	// soakKey is a part of all keys in a soak.
	soakKey = "SoakSecret"
	// soakKeyRevocation is short, so that faults of the store last longer.
	soakKeyRevocation = 2 * time.Second
)

// soakRates are the usual limits of the organisations, in requests a second; zero means
// none. A hot organisation sends more than twice its limit.
var soakRates = []float64{0, 60, 30, 12}

// UseOrganisations lets a soak publish organisations, whose keys and limits change. The
// caller calls it before Start.
func (m *Mesh) UseOrganisations() {
	m.KeyRevocation, m.LimitOver, m.LimitSlack = soakKeyRevocation, 0.25, 20
	m.accounts = &accounts{requests: make(map[string]keyedRequest), calmSince: time.Now()}
	for n, rate := range soakRates {
		m.Organisations = append(m.Organisations, Organisation{Name: fmt.Sprintf("organisation-%d", n), Priority: n % 2,
			Keys: []string{fmt.Sprint(soakKey, n, "a"), fmt.Sprint(soakKey, n, "\u00fc\u00ff")}, Rate: rate, Burst: rate / 2})
	}
}

func (s *soak) addKey(*VM, time.Duration) {
	o := &s.Organisations[s.rng.IntN(len(s.Organisations))]
	s.log("add a key of %s", o.Name)
	o.Keys = append(o.Keys, fmt.Sprint(soakKey, "New", s.version))
	s.Configure(nil)
}

// revokeKey revokes the oldest key of an organisation and adds one. In half of the
// cases the store fails at once, so that sidecars must refuse what they can't prove.
func (s *soak) revokeKey(_ *VM, d time.Duration) {
	o := &s.Organisations[s.rng.IntN(len(s.Organisations))]
	s.log("revoke a key of %s", o.Name)
	o.Keys = append(slices.Clone(o.Keys[1:]), fmt.Sprint(soakKey, "New", s.version))
	s.Configure(nil)
	if s.rng.IntN(2) == 0 {
		s.storeFault(nil, soakKeyRevocation+d)
	}
}

func (s *soak) changeLimit(_ *VM, d time.Duration) {
	n := 1 + s.rng.IntN(len(soakRates)-1)
	s.setLimit(n, soakRates[n]*[]float64{0.1, 1, 2}[s.rng.IntN(3)], d)
}

// setLimit publishes a limit of the organisation with the given index, which is hot for
// the time d.
func (s *soak) setLimit(n int, rate float64, d time.Duration) {
	o := &s.Organisations[n]
	s.log("limit of %s: %g a second", o.Name, rate)
	o.Rate, o.Burst = rate, rate/2
	s.Configure(nil)
	s.makeHot(n, d)
}

func (s *soak) heat(_ *VM, d time.Duration) { s.makeHot(s.rng.IntN(len(soakRates)), d+limitWindow) }

// makeHot makes the organisation with the given index the hot one for the time d, or
// until another one becomes hot.
func (s *soak) makeHot(n int, d time.Duration) {
	s.log("%s is hot for %v", s.Organisations[n].Name, d)
	s.accounts.setHot(s.Organisations[n].Name)
	s.repairAfter(d, func() { s.accounts.setHot("") })
}
