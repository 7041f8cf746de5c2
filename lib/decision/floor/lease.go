package floor

import (
	"time"
)

// FullShare is the trial share of an instance that is back in full.
const FullShare = 1000

// Lease ejects an instance until it ends.
type Lease struct {
	Service  string
	Instance string
	// Holder is the VM that granted the lease of its token.
	Holder     string
	Token      int
	Assignment uint64
	// Sequence orders the leases of a holder, also across its restarts.
	Sequence uint64
	// Granted and Until are on the clock of the node that has the lease.
	Granted, Until time.Time
	// TrialShare is the share in thousandths that the instance gets while it returns;
	// 0 means that it gets no requests.
	TrialShare int
	// Cause is for operators.
	Cause string
}

// Leases is a node's view of the leases of one service. It keeps at most one
// lease for each token.
type Leases struct {
	// Assignment is the one in force at this node.
	Assignment *Assignment

	byToken map[int]Lease
}

// Adopt changes the assignment. Leases of another one do not count any more.
func (l *Leases) Adopt(a *Assignment) {
	if l.Assignment == nil || l.Assignment.ID != a.ID {
		l.byToken = nil
	}
	l.Assignment = a
}

// Merge records a lease that was granted here or heard of and reports whether
// it was news. It ignores leases of another assignment, of a token that the
// assignment gives to another holder, and those that are older than the one
// known.
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
	// A lease that ended is kept as well, since its sequence tells older ones,
	// which may arrive later, from newer ones.
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

// Latest returns the newest lease of each token, also those that ended, ordered
// by token. The ones that ended tell other nodes that a lease was ended early.
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
// 0 while it is ejected, TrialFull if no lease concerns it.
func (l *Leases) Share(now time.Time, instance string) int {
	share := FullShare
	for _, x := range l.byToken {
		if x.Instance == instance && now.Before(x.Until) {
			share = min(share, x.TrialShare)
		}
	}
	return share
}
