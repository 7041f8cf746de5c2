package organisation

import "time"

// Presented says what a request shows of a key.
type Presented int

// Values of Presented.
const (
	// NoKey means that the request has no key.
	NoKey Presented = iota
	// Malformed means that the request has something else in the place of a key.
	Malformed
	// Unknown means that no organisation in the register holds the key.
	Unknown
	// Known means that an organisation in the register holds the key.
	Known
)

// Request is a request as far as the decision on its key depends on it.
type Request struct {
	Presented Presented
	// Public is set if the request needs no key.
	Public    bool
	ArrivedAt time.Time
}

// Proof says how recent the register is.
type Proof struct {
	// ProvedAt is the time up to which the register is known to include all changes. It
	// is zero if there is no such time.
	ProvedAt time.Time
	// Fresh is set if the register is recent enough to accept keys, which may have been
	// revoked since.
	Fresh bool
}

// Verdict is the decision on a request.
type Verdict string

// Verdicts. Their texts are used in log lines and metrics.
const (
	// Authenticated means that the request is served for the organisation.
	Authenticated Verdict = "authenticated"
	// Anonymous means that the request is served without an organisation.
	Anonymous Verdict = "anonymous"
	// MissingKey, MalformedKey and UnknownKey mean that the request is refused as not
	// authenticated.
	MissingKey   Verdict = "missing key"
	MalformedKey Verdict = "malformed key"
	UnknownKey   Verdict = "unknown key"
	// Unconfirmed means that the key is unknown, but may be newer than the register. The
	// request waits for a newer proof.
	Unconfirmed Verdict = "unconfirmed key"
	// Stale means that the key may have been revoked since the register was proved.
	Stale Verdict = "stale configuration"
)

// Decide returns the verdict on a request. An unknown key is refused only if the
// register includes all changes up to the arrival of the request. On a public route, a
// key that cannot be accepted is ignored.
func Decide(r Request, p Proof) Verdict {
	switch {
	case r.Presented == Known && p.Fresh:
		return Authenticated
	case r.Public:
		return Anonymous
	case r.Presented == Known:
		return Stale
	case r.Presented == NoKey:
		return MissingKey
	case r.Presented == Malformed:
		return MalformedKey
	case !p.ProvedAt.After(r.ArrivedAt):
		return Unconfirmed
	}
	return UnknownKey
}
