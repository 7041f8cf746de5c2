package handoff

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"cassiarack.example/lib/decision/ledger"
	"cassiarack.example/lib/decision/route"
	"cassiarack.example/lib/request"
	ledgerservice "cassiarack.example/lib/service/ledger"
)

const (
	// claimTimeout bounds one claim or release. It is shorter than the grant
	// timeout, so that the reservation does not expire during a slow claim.
	claimTimeout = 300 * time.Millisecond
	// claimTries is the number of times that a claim is requested. The second
	// request recovers from a reply that was lost with its connection.
	claimTries = 2
)

// keyClaim is the claim of a request on its idempotency key. It is nil for a
// request that needs no claim.
type keyClaim struct {
	s        *Service
	route    route.Route
	key      ledger.Key
	claimant ledger.Claimant
	// done is closed when result and err are set.
	done   chan struct{}
	result ledger.Result
	err    error
}

// startClaim starts to claim the key of a request, in parallel with the first
// reservation. It returns nil for a request without a key and for idempotent
// work, which needs no claim.
func (s *Service) startClaim(req *request.Request, rt route.Route) *keyClaim {
	if req.IdempotencyKey == "" || rt.Idempotent {
		return nil
	}
	k := &keyClaim{s: s, route: rt, done: make(chan struct{}),
		key: ledger.Key{Organisation: req.Organisation, Service: rt.Service.Name, Value: req.IdempotencyKey}}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(k.claimant[:])
	go k.run()
	return k
}

// run requests the claim from the owner of the key.
func (k *keyClaim) run() {
	defer close(k.done)
	for range claimTries {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		k.result, k.err = k.s.ledger.Claim(ctx, k.route.Service, k.key, k.claimant)
		cancel()
		if k.err == nil {
			return
		}
	}
}

// wait waits for the reply to the claim. It returns nil if the work may run, or
// the reason why it must not.
func (k *keyClaim) wait() *request.Failure {
	if k == nil {
		return nil
	}
	<-k.done
	f := &request.Failure{Outcome: request.Unknown, Reason: request.ReasonKeyUnknown, RetryAfter: k.result.RetryAfter}
	switch {
	case k.err != nil:
		f.Detail = fmt.Sprintf("the home of the idempotency key gives no answer: %v", k.err)
	case k.result.Answer == ledger.Granted:
		return nil
	case k.result.Answer == ledger.Held:
		f.Reason = request.ReasonKeyInUse
		f.Detail = "another request with the idempotency key ran or may run"
	case k.result.Answer == ledger.Full:
		f.Detail = "the home of the idempotency key has no room for another"
	default:
		f.Detail = "the home of the idempotency key cannot know earlier requests yet"
	}
	return f
}

// finish releases the claim if the work did not run or if no reply to the claim
// arrived, and returns the failure to report. A request whose key is held or
// unknown is not reported as not run, because the caller would take that for all
// requests with the key.
func (k *keyClaim) finish(f *request.Failure) *request.Failure {
	if k == nil || f == nil {
		return f
	}
	denied := k.wait()
	if k.err != nil || denied == nil && f.Outcome == request.NotRun {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		if err := k.s.ledger.Release(ctx, k.route.Service, k.key, k.claimant); err != nil {
			k.s.Log.Debug("Claim not released.", "err", err)
		}
	}
	if denied != nil {
		return denied
	}
	return f
}

// limitToRetention checks the length of the idempotency key and limits the
// deadline to the end of the key's retention. Work that starts later could run in
// addition to another request with the key.
func (s *Service) limitToRetention(req *request.Request, rt route.Route, now time.Time) *request.Failure {
	if req.IdempotencyKey == "" || rt.Idempotent {
		return nil
	}
	if len(req.IdempotencyKey) > ledgerservice.MaxKeyLength {
		return &request.Failure{Outcome: request.NotRun, Reason: request.ReasonMalformed,
			Detail: fmt.Sprintf("Idempotency-Key: found %d bytes; allowed: up to %d", len(req.IdempotencyKey), ledgerservice.MaxKeyLength)}
	}
	if end := now.Add(s.ledger.Retention); req.Deadline.After(end) {
		req.Deadline = end
	}
	return nil
}
