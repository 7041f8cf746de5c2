package retry

// Inflight bounds the requests that an entry has on their way to a service.
// More than fill all slots and queues of the service cannot be admitted, and
// offering them to the gates would only cost time. While the bound is reached,
// each organisation keeps its share of it by weight.
type Inflight struct {
	total   int
	weights int
	holders map[string]*holder
}

// holder is what an organisation has on its way.
type holder struct {
	n, weight int
}

// overcommit bounds the requests beyond the limit that organisations below their
// share may add, as a multiple of the limit.
const overcommit = 2

// Begin counts a request of an organisation if the limit allows it.
func (f *Inflight) Begin(organisation string, weight, limit int) bool {
	weight = max(weight, 1)
	h, ok := f.holders[organisation]
	if f.total >= limit {
		n, weights := 0, f.weights+weight
		if ok {
			n, weights = h.n, f.weights
		}
		if f.total >= overcommit*limit || n >= max(1, limit*weight/weights) {
			return false
		}
	}
	if !ok {
		if f.holders == nil {
			f.holders = make(map[string]*holder)
		}
		h = &holder{weight: weight}
		f.holders[organisation] = h
		f.weights += weight
	}
	h.n++
	f.total++
	return true
}

// End takes out a request that Begin counted.
func (f *Inflight) End(organisation string) {
	h, ok := f.holders[organisation]
	if !ok {
		return
	}
	f.total--
	if h.n--; h.n == 0 {
		delete(f.holders, organisation)
		f.weights -= h.weight
	}
}

// Idle reports whether no request is on its way.
func (f *Inflight) Idle() bool { return f.total == 0 }
