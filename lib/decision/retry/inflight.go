package retry

// Inflight bounds the requests that an entry has on their way to a service.
// More than fill all slots and queues of the service cannot be admitted, and
// offering them to the gates would only cost time. While the bound is reached,
// each organisation keeps its share of it by weight.
type Inflight struct {
	total         int
	totalWeight   int
	organisations map[string]*organisationCount
}

// organisationCount is what an organisation has on its way.
type organisationCount struct {
	requests, weight int
}

// overcommit bounds the requests beyond the limit that organisations below their
// share may add, as a multiple of the limit.
const overcommit = 2

// Begin counts a request of an organisation if the limit allows it.
func (f *Inflight) Begin(organisation string, weight, limit int) bool {
	weight = max(weight, 1)
	h, ok := f.organisations[organisation]
	if f.total >= limit {
		n, weights := 0, f.totalWeight+weight
		if ok {
			n, weights = h.requests, f.totalWeight
		}
		if f.total >= overcommit*limit || n >= max(1, limit*weight/weights) {
			return false
		}
	}
	if !ok {
		if f.organisations == nil {
			f.organisations = make(map[string]*organisationCount)
		}
		h = &organisationCount{weight: weight}
		f.organisations[organisation] = h
		f.totalWeight += weight
	}
	h.requests++
	f.total++
	return true
}

// End takes out a request that Begin counted.
func (f *Inflight) End(organisation string) {
	h, ok := f.organisations[organisation]
	if !ok {
		return
	}
	f.total--
	if h.requests--; h.requests == 0 {
		delete(f.organisations, organisation)
		f.totalWeight -= h.weight
	}
}

// Idle reports whether no request is on its way.
func (f *Inflight) Idle() bool { return f.total == 0 }
