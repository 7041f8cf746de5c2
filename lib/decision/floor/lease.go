package floor

import (
	"time"
)

// FullShare is the trial share, in thousandths, of an instance that gets its
// full share of requests.
const FullShare = 1000

// Lease is the ejection of an instance, or its trial after one, for a limited
// time.
type Lease struct {
	Service  string
	Instance string
	// Holder is the name of the VM that holds the token and granted the lease.
	Holder     string
	Token      int
	Assignment uint64
	// Sequence increases with each lease of a holder, also across its restarts.
	Sequence uint64
	// Granted and Until are times on the clock of the node that stores the lease.
	Granted, Until time.Time
	// TrialShare is the share of requests, in thousandths, that the instance gets
	// while it is on trial; 0 means that it is ejected and gets no requests.
	TrialShare int
	// Cause is the reason for the ejection, as shown to operators.
	Cause string
}

// Leases is a node's view of the leases of one service. It keeps at most one
// lease for each token.
type Leases struct {
	// Assignment is the assignment in force at this node.
	Assignment *Assignment

	byToken map[int]Lease
}

// Adopt puts an assignment in force. A different assignment drops all known
// leases.
func (l *Leases) Adopt(a *Assignment) {
	if l.Assignment == nil || l.Assignment.ID != a.ID {
		l.byToken = nil
	}
	l.Assignment = a
}

// Merge records a lease that was granted here or received from another node and
// reports whether it recorded it. It ignores leases of another assignment,
// leases of a token that the assignment gives to another holder, and leases
// that are not newer than the known lease of the token.
func (l *Leases) Merge(now time.Time, x Lease) bool {
	a := l.Assignment
	if a == nil || x.Assignment != a.ID || x.Token < 0 || x.Token >= len(a.Holders) || a.Holders[x.Token] != x.Holder {
		return false
	}
	if old, ok := l.byToken[x.Token]; ok && old.Sequence >= x.Sequence {
		return false
	}
	if l.byToken == nil {
		l.byToken = make(map[int]Lease)
	}
	// A lease that has ended is kept too, because its sequence number identifies
	// older leases that arrive later.
	l.byToken[x.Token] = x
	return true
}

// Running returns the leases that have not ended, ordered by token.
func (l *Leases) Running(now time.Time) []Lease {
	var out []Lease
	if l.Assignment == nil {
		return nil
	}
	for u := range l.Assignment.Holders {
		if x, ok := l.byToken[u]; ok && now.Before(x.Until) {
			out = append(out, x)
		}
	}
	return out
}

// Latest returns the newest lease of each token, ordered by token. It includes
// leases that have ended, because other nodes learn from them that a lease was
// ended early.
func (l *Leases) Latest() []Lease {
	var out []Lease
	if l.Assignment == nil {
		return nil
	}
	for u := range l.Assignment.Holders {
		if x, ok := l.byToken[u]; ok {
			out = append(out, x)
		}
	}
	return out
}

// Share returns the share of requests that an instance may get, in thousandths:
// 0 while it is ejected, and FullShare if it has no running lease.
func (l *Leases) Share(now time.Time, instance string) int {
	share := FullShare
	for _, x := range l.byToken {
		if x.Instance == instance && now.Before(x.Until) {
			share = min(share, x.TrialShare)
		}
	}
	return share
}
