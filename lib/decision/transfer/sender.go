package transfer

// Sender is the state of an exchange on the side of the client. It is not safe for
// concurrent use.
type Sender struct {
	state State
	// left is the number of bytes of the body that were not sent.
	left int64
}

// NewSender returns the state after the head of a request with a body of size bytes
// was sent. The size must be positive.
func NewSender(size int64) *Sender { return &Sender{left: size} }

// State returns the state.
func (s *Sender) State() State { return s.state }

// Grant records that the receiver reserved a slot.
func (s *Sender) Grant() error {
	if s.state != Offered {
		return &Error{Op: "take grant", Kind: KindUnexpected, State: s.state}
	}
	s.state = Granted
	return nil
}

// Next returns the size of the next part, at most limit, and records it as sent. It
// is called before the part is handed to the connection, because a failed call may
// have sent the part. It returns zero if no part is to be sent.
func (s *Sender) Next(limit int64) int64 {
	if s.state != Granted && s.state != Sending {
		return 0
	}
	n := min(limit, s.left)
	s.left -= n
	s.state = Sending
	if s.left == 0 {
		s.state = Sent
	}
	return n
}

// Reply records the reply of the receiver. A refusal is final in every state, since
// the receiver decides whether the request runs. Any other reply is possible only
// after the last part was sent.
func (s *Sender) Reply(refused bool) error {
	switch {
	case s.state.Final(), !refused && s.state != Sent:
		return &Error{Op: "take reply", Kind: KindUnexpected, State: s.state}
	case refused:
		s.state = Void
	default:
		s.state = Answered
	}
	return nil
}

// End records that the connection, the client or the time of the request ended.
func (s *Sender) End() {
	switch {
	case s.state.Final():
	case s.state == Sent:
		s.state = Unknown
	default:
		s.state = Void
	}
}
