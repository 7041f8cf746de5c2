package request

import (
	"fmt"
	"time"
)

// Outcome is what a caller is told about the work of its request.
type Outcome string

// Outcomes. NotRun is a promise: the work did not run and will not run.
const (
	Complete Outcome = "complete"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// Reason tells why a request has no answer.
type Reason string

// Reasons.
const (
	ReasonFull            Reason = "full"
	ReasonShare           Reason = "share"
	ReasonDeadline        Reason = "deadline"
	ReasonLeaving         Reason = "leaving"
	ReasonEjected         Reason = "ejected"
	ReasonUnknownInstance Reason = "unknown-instance"
	ReasonNoRoute         Reason = "no-route"
	ReasonNoInstance      Reason = "no-instance"
	ReasonInvalidGrant    Reason = "grant"
	ReasonPaused          Reason = "paused"
	ReasonUnreachable     Reason = "unreachable"
	ReasonBackendConnect  Reason = "backend-connect"
	ReasonBackendLost     Reason = "backend-lost"
	ReasonBackendShed     Reason = "backend-shed"
	ReasonLinkLost        Reason = "link-lost"
	ReasonCancelled       Reason = "cancelled"
	ReasonQueueWait       Reason = "queue-wait"
	ReasonMalformed       Reason = "malformed"
	ReasonBodyTruncated   Reason = "body"
	ReasonKeyInUse        Reason = "key-in-use"
	ReasonKeyUnknown      Reason = "key-unknown"
	ReasonNotServing      Reason = "not-serving"
	ReasonOverload        Reason = "overload"
)

// Failure is a request without an answer.
type Failure struct {
	Outcome Outcome
	Reason  Reason
	// Detail is for the caller's log.
	Detail string
	// RetryAfter is when a new attempt makes sense; zero means not stated.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("request: %s: %s: %s", f.Outcome, f.Reason, f.Detail)
}
