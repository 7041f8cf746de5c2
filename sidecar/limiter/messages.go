package limiter

import (
	"math"
	"time"

	"cassiarack.example/lib/decision/ratelimit"
	"cassiarack.example/lib/wire"
)

// maxWanted bounds the credits of one question.
const maxWanted = 1 << 20

// encodeQuestion returns the message of a question.
func encodeQuestion(q *ratelimit.Question) *wire.CreditRequest {
	return &wire.CreditRequest{Nonce: q.Nonce, Organisation: []byte(q.Organisation), Rate: q.Limit.Rate, Burst: q.Limit.Burst,
		ConfigVersion: q.Limit.Version, Wanted: uint32(min(q.Wanted, maxWanted))}
}

// decodeQuestion returns the question in a message. It reports false if the limit is no
// valid one.
func decodeQuestion(m *wire.CreditRequest) (ratelimit.Question, bool) {
	for _, n := range []float64{m.GetRate(), m.GetBurst()} {
		if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			return ratelimit.Question{}, false
		}
	}
	return ratelimit.Question{Organisation: string(m.GetOrganisation()), Nonce: m.GetNonce(),
		Limit:  ratelimit.Limit{Rate: m.GetRate(), Burst: m.GetBurst(), Version: m.GetConfigVersion()},
		Wanted: int(min(m.GetWanted(), maxWanted))}, true
}

// encodeGrant returns the message of the reply to the question with a nonce.
func encodeGrant(nonce uint64, g ratelimit.Grant) *wire.CreditReply {
	return &wire.CreditReply{Nonce: nonce, Granted: uint32(g.Credits), RetryAfter: int64(g.RetryAfter), NotLedger: g.NotLedger}
}

// decodeGrant returns the reply in a message.
func decodeGrant(m *wire.CreditReply) ratelimit.Grant {
	return ratelimit.Grant{Credits: int(min(m.GetGranted(), maxWanted)), RetryAfter: time.Duration(m.GetRetryAfter()),
		NotLedger: m.GetNotLedger()}
}
