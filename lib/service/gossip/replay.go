package gossip

import "time"

const (
	// replayWindow is the number of datagrams of a sender that may arrive out of
	// order.
	replayWindow = 64
	// senderRetention is how long a silent sender is remembered. A node whose clock
	// was set back returns after this time at the latest.
	senderRetention = 10 * time.Minute
	// maxSenders bounds the senders that are remembered.
	maxSenders = 16384
)

// senders tells replays from new datagrams. It belongs to the receiving
// goroutine.
type senders struct {
	byName map[string]*sender
	swept  time.Time
}

// sender is what is known about the datagrams of one node.
type sender struct {
	run, highest uint64
	// seen has bit i set when number highest-i arrived.
	seen        uint64
	lastArrival time.Time
}

// accept reports whether a datagram is neither a repetition nor older than the
// window or the sender's present run, and notes it.
func (s *senders) accept(now time.Time, name string, run, number uint64) bool {
	if s.byName == nil {
		s.byName = make(map[string]*sender)
	}
	s.sweep(now)
	x, ok := s.byName[name]
	switch {
	case !ok && len(s.byName) >= maxSenders:
		return false
	case !ok || run > x.run:
		s.byName[name] = &sender{run: run, highest: number, seen: 1, lastArrival: now}
		return true
	case run < x.run:
		return false
	}
	if number > x.highest {
		// A shift by 64 or more gives zero.
		x.seen = x.seen<<(number-x.highest) | 1
		x.highest, x.lastArrival = number, now
		return true
	}
	back := x.highest - number
	if back >= replayWindow || x.seen&(1<<back) != 0 {
		return false
	}
	x.seen |= 1 << back
	x.lastArrival = now
	return true
}

func (s *senders) sweep(now time.Time) {
	if now.Sub(s.swept) < senderRetention/2 {
		return
	}
	s.swept = now
	for name, x := range s.byName {
		if now.Sub(x.lastArrival) > senderRetention {
			delete(s.byName, name)
		}
	}
}
