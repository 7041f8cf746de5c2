package ratelimit

import "time"

const (
	// ledgerCount is the number of ledgers of an organisation.
	ledgerCount = 5
	// overShare is the part of the permitted excess of the rate that the buckets use.
	// burstShare and rateShare are the parts of the slack that they use for their
	// capacity and, over a window, for their rate. The rest covers credits that are
	// granted before a window and used in it, and ledgers that go on with old lists.
	overShare  = 0.4
	burstShare = 0.8
	rateShare  = 0.1
	// creditValidity is how long a credit may be used after it was asked for.
	creditValidity = 300 * time.Millisecond
	// replyTimeout is how long an entry waits for the reply of a ledger.
	replyTimeout = 40 * time.Millisecond
	// refusalMemory bounds how long an entry does not ask a ledger again that refused
	// or did not reply.
	refusalMemory = 500 * time.Millisecond
	// demandMemory is the time constant of the estimate of an organisation's demand.
	demandMemory = time.Second
	// maxRetryAfter bounds the times that refusals state. Further refusals begin again
	// at the earliest time.
	maxRetryAfter = 30 * time.Second
	// minRetryAfter is the shortest time that a refusal states.
	minRetryAfter = time.Millisecond
	// noLedgerRetryAfter is the time after which a caller may try again if no ledger
	// replied.
	noLedgerRetryAfter = 300 * time.Millisecond
	// settleTime is how long a node that has become a ledger grants nothing. By then
	// all nodes have seen the same change of the list of nodes.
	settleTime = 2500 * time.Millisecond
	// startShare is the part of what the buckets leave of the bound that they hold when
	// their processes get their first list. The bound then holds if all processes are
	// restarted twice within a window, and the rest covers the credits that are granted
	// before a window and used in it.
	startShare = 1.0 / 4
	// contactValidity is how long a reply of a ledger shows that it can be reached.
	contactValidity = time.Second
	// idleTime is how long unused buckets and stocks are kept.
	idleTime = 30 * time.Second
)

// FreshList is the age up to which a node's list of nodes is used without asking a
// majority of the ledgers, and up to which the node asks its own buckets. It is shorter than the time after which other nodes remove a
// node that they cannot reach.
const FreshList = 2 * time.Second

// Limit is the limit of an organisation over all nodes.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
	// Version is that of the configuration that contains the limit.
	Version uint64
}

// below reports whether l permits less than m.
func (l Limit) below(m Limit) bool { return l.Rate < m.Rate || l.Burst < m.Burst }

// Shares divides limits among ledgers. In any window of length Window, an organisation
// gets at most (Rate*Window+Burst)*(1+Over) + Slack requests.
type Shares struct {
	Window      time.Duration
	Over, Slack float64
}

// The conversions of products below prevent fused operations, so that all architectures
// decide the same.

// rate returns the rate of one ledger in credits a second.
func (s Shares) rate(l Limit) float64 {
	sum := float64(l.Rate * (1 + float64(s.Over*overShare)))
	if s.Window > 0 {
		sum += float64(s.Slack*rateShare) / s.Window.Seconds()
	}
	return sum / ledgerCount
}

// capacity returns the largest number of credits that one ledger holds. It is at least
// one, since credits are granted whole.
func (s Shares) capacity(l Limit) float64 {
	return max(1, (l.Burst+float64(s.Slack*burstShare))/ledgerCount)
}

// initial returns the credits that a ledger holds when its process starts. Otherwise all
// requests would be refused for about a second after a restart of all nodes.
func (s Shares) initial(l Limit) float64 {
	window := s.Window.Seconds()
	bound := float64(float64(l.Rate*window)+l.Burst)*(1+s.Over) + s.Slack
	used := ledgerCount * (s.capacity(l) + float64(s.rate(l)*window))
	return max(0, float64((bound-used)*startShare)/ledgerCount)
}

// interval returns the time in which a bucket with the given rate gains credits, within
// the bounds of the times that refusals state.
func interval(credits, rate float64) time.Duration {
	if seconds := credits / rate; rate > 0 && seconds < maxRetryAfter.Seconds() {
		return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
	}
	return maxRetryAfter
}
