package gossip

import "time"

const (
	// replayWindow is the number of the last datagrams of a sender within which
	// datagrams may arrive out of order.
	replayWindow = 64
	// senderRetention is the time for which a sender is remembered after its last
	// datagram. The datagrams of a node whose clock was set back are refused as those
	// of an earlier run until the sender is forgotten.
	senderRetention = 10 * time.Minute
	// maxSenders limits the number of remembered senders.
	maxSenders = 16384
)

// senders distinguishes replays from new datagrams. Only the receiving goroutine uses
// it.
type senders struct {
	byName map[string]*sender
	swept  time.Time
}

// sender describes the datagrams received from one node. run is the start time of its
// process, and highest the highest number received from that run.
type sender struct {
	run, highest uint64
	// seen has bit i set if the datagram with number highest-i arrived.
	seen        uint64
	lastArrival time.Time
}

// accept reports whether a datagram is new, and records it. A datagram is not new if
// it is a repetition, older than the window, or of an earlier run of its sender.
// While maxSenders are remembered, datagrams of other senders are refused.
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
		// In Go, a shift by 64 or more results in 0.
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

// sweep removes senders without a datagram for more than senderRetention. It does so
// at most once in half of that time.
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
