package request

import (
	"fmt"
	"time"
)

// Outcome is what the fleet reports to a caller about the execution of its request.
type Outcome string

// Outcomes.
const (
	// Complete means that the backend server ran the request and answered it.
	Complete Outcome = "complete"
	// NotRun guarantees that the work did not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the work may have run.
	Unknown Outcome = "unknown"
)

// Reason is the reason why a request has no answer.
type Reason string

// Reasons. Callers receive their values, which must therefore not change.
const (
	// ReasonFull means that the queue of the gate, or of each gate tried, is full.
	ReasonFull Reason = "full"
	// ReasonShare means that the gate is full and the organisation holds more than
	// its share.
	ReasonShare Reason = "share"
	// ReasonDeadline means that the deadline passed or cannot be met.
	ReasonDeadline Reason = "deadline"
	// ReasonLeaving means that the instance accepts no new requests.
	ReasonLeaving         Reason = "leaving"
	ReasonEjected         Reason = "ejected"
	ReasonUnknownInstance Reason = "unknown-instance"
	// ReasonNoRoute means that no service has a route for the path.
	ReasonNoRoute    Reason = "no-route"
	ReasonNoInstance Reason = "no-instance"
	// ReasonInvalidGrant means that the grant of a slot expired, was used or voided,
	// or is of an earlier incarnation of the gate.
	ReasonInvalidGrant Reason = "grant"
	// ReasonPaused means that the process of the gate was paused.
	ReasonPaused Reason = "paused"
	// ReasonUnreachable means that the node beside the instance did not answer.
	ReasonUnreachable Reason = "unreachable"
	// ReasonBackendConnect means that the backend server received nothing of the
	// request.
	ReasonBackendConnect Reason = "backend-connect"
	// ReasonBackendLost means that the backend server failed and may have received
	// some of the request.
	ReasonBackendLost Reason = "backend-lost"
	ReasonBackendShed Reason = "backend-shed"
	// ReasonLinkLost means that the connection to the gate was lost.
	ReasonLinkLost  Reason = "link-lost"
	ReasonCancelled Reason = "cancelled"
	// ReasonQueueWait means that the wait in the queue of the gate is longer than
	// the request allows.
	ReasonQueueWait Reason = "queue-wait"
	ReasonMalformed Reason = "malformed"
	// ReasonBodyTruncated means that the body of the request ended early.
	ReasonBodyTruncated Reason = "body"
	// ReasonKeyInUse means that another request with the idempotency key ran or may
	// run.
	ReasonKeyInUse Reason = "key-in-use"
	// ReasonKeyUnknown means that it is not known whether another request with the
	// idempotency key ran.
	ReasonKeyUnknown Reason = "key-unknown"
	// ReasonNotServing means that the node has no configuration yet, or that no other
	// node has confirmed it.
	ReasonNotServing Reason = "not-serving"
	// ReasonOverload means that a component of a node is full or stopping.
	ReasonOverload Reason = "overload"
)

// Failure describes a request without an answer.
type Failure struct {
	Outcome Outcome
	Reason  Reason
	// Detail is a description for the log of the caller.
	Detail string
	// RetryAfter is the time after which a new attempt may succeed; zero if that
	// is not known.
	RetryAfter time.Duration
}

// Error returns the outcome, the reason and the detail.
func (f *Failure) Error() string {
	return fmt.Sprintf("request: %s: %s: %s", f.Outcome, f.Reason, f.Detail)
}
