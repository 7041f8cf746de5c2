package retry

// Inflight limits the requests that an entry node has in flight to a service.
// Requests beyond all slots and queues of the service cannot be admitted, and
// offering them to the gates would only cost time. At the limit, each
// organisation keeps a share of it by weight.
type Inflight struct {
	total         int
	totalWeight   int
	organisations map[string]*organisationCount
}

// organisationCount is the number of requests in flight and the weight of an
// organisation.
type organisationCount struct {
	requests, weight int
}

// overcommit is the number of requests in flight, as a multiple of the limit, up
// to which organisations below their share may exceed the limit.
const overcommit = 2

// Begin counts a request of an organisation and returns true if the limit
// allows the request.
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

// End removes a request that Begin counted.
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

// Idle reports whether no request is in flight.
func (f *Inflight) Idle() bool { return f.total == 0 }
