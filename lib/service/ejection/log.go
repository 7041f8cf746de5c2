package ejection

import (
	"slices"
	"time"
)

const (
	// logSize is the maximum number of entries in the decision log.
	logSize = 256
	// logRepeatInterval is the minimum time between two equal entries.
	logRepeatInterval = 5 * time.Second
)

// Decision is an entry of the decision log, for operators.
type Decision struct {
	At       time.Time `json:"at"`
	Service  string    `json:"service"`
	Instance string    `json:"instance"`
	// Kind is one of verdict, report, ejected, trial, returned and refused.
	Kind string `json:"what"`
	// Reporter is the name of the VM whose evidence or lease this is.
	Reporter string `json:"reporter,omitempty"`
	Cause    string `json:"cause,omitempty"`
	Samples  int    `json:"samples,omitempty"`
	Bad      int    `json:"bad,omitempty"`
	// Score is the evidence as a multiple of the threshold for an ejection.
	Score      float64 `json:"score,omitempty"`
	Confidence float64 `json:"confidence,omitempty"`
	// Reason is why an ejection was refused.
	Reason string `json:"reason,omitempty"`
	// Share is the share of requests, in thousandths, that an instance gets from
	// now on. It is set for changes of the share.
	Share int        `json:"share,omitempty"`
	Until *time.Time `json:"until,omitempty"`
}

// decisionLog keeps the most recent decisions.
type decisionLog struct {
	entries []Decision
	// lastRecorded holds the time at which each distinct entry was last recorded.
	lastRecorded map[decisionKey]time.Time
}

type decisionKey struct{ instance, kind, reporter, cause, reason string }

// add records a decision and reports whether it did so. It omits an entry that
// equals one recorded less than logRepeatInterval ago.
func (l *decisionLog) add(d Decision) bool {
	k := decisionKey{d.Instance, d.Kind, d.Reporter, d.Cause, d.Reason}
	if l.lastRecorded == nil {
		l.lastRecorded = make(map[decisionKey]time.Time)
	}
	if at, ok := l.lastRecorded[k]; ok && d.At.Sub(at) < logRepeatInterval {
		return false
	}
	if len(l.lastRecorded) > 4*logSize {
		clear(l.lastRecorded)
	}
	l.lastRecorded[k] = d.At
	if len(l.entries) == logSize {
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	l.entries = append(l.entries, d)
	return true
}
