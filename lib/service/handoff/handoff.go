package handoff

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/route"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/ledger"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/observer"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/service/router"
)

const (
	// reserveTimeout bounds the wait for the reply to a reservation, in addition
	// to the longest wait in the gate's queue.
	reserveTimeout = 400 * time.Millisecond
	// settleTimeout bounds the wait for the reply to one settlement request. Two
	// requests fit into the time that a caller allows beyond its deadline.
	settleTimeout = 300 * time.Millisecond
	// commitReplyTimeout is how long a committed request waits for a message
	// before the gate is asked whether the commit arrived. It exceeds the grant
	// timeout, because the gate reports the expiry of a grant by itself.
	commitReplyTimeout = 1500 * time.Millisecond
	// closeTimeout bounds the wait for the gate to close the stream after the
	// last message.
	closeTimeout = 100 * time.Millisecond
)

// Service hands requests over to gates.
type Service struct {
	// Log receives settlement requests and, at level debug, failed releases of
	// claims and failed reports to the router.
	Log *log.Logger

	config   *configservice.Service
	peers    *peers.Service
	router   router.Router
	ledger   *ledger.Service
	observer observer.Observer
	scope    tally.Scope
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.config, err = kernel.Find[*configservice.Service](dir, service.Config); err != nil {
		return err
	}
	if s.peers, err = kernel.Find[*peers.Service](dir, service.Peers); err != nil {
		return err
	}
	m, err := kernel.Find[*metrics.Service](dir, service.Metrics)
	if err != nil {
		return err
	}
	s.scope = m.Scope().SubScope("handoff")
	if s.observer, err = observer.Find(dir); err != nil {
		return err
	}
	if s.ledger, err = kernel.Find[*ledger.Service](dir, service.Ledger); err != nil {
		return err
	}
	s.router, err = router.Find(dir)
	return err
}

// Run implements kernel.Service. It only waits for the end of ctx, because the
// goroutines of the requests do the work.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Do hands a request over and returns its answer, or a *request.Failure. The
// caller must read all pieces of the answer. Do may move req.Deadline to an
// earlier time if the request has an idempotency key.
func (s *Service) Do(ctx context.Context, req *request.Request) (*request.Answer, *request.Failure) {
	conf := s.config.Current()
	if conf == nil {
		return nil, notRun(request.ReasonNotServing, "the node has no configuration yet")
	}
	rt, err := route.Find(conf, req.Method, req.Path)
	if err != nil {
		return nil, notRun(request.ReasonNoRoute, err.Error())
	}
	if f := s.limitToRetention(req, rt, time.Now()); f != nil {
		return nil, f
	}
	j := &job{s: s, req: req, route: rt, body: newReplayBody(req.Body),
		weight: conf.Organisations[req.Organisation], key: s.startClaim(req, rt)}
	answer, failure := j.run(ctx)
	failure = j.key.finish(failure)
	if failure != nil {
		s.scope.Tagged(map[string]string{"outcome": string(failure.Outcome), "reason": string(failure.Reason)}).
			Counter("failed").Inc(1)
		return nil, failure
	}
	s.scope.Counter("answered").Inc(1)
	return answer, nil
}

func notRun(r request.Reason, detail string) *request.Failure {
	return &request.Failure{Outcome: request.NotRun, Reason: r, Detail: detail}
}

// combineFailures returns the failure of a request of which another attempt
// failed. Once an attempt may have run, the request is never reported as not run.
func combineFailures(earlier, next *request.Failure) *request.Failure {
	if earlier != nil && earlier.Outcome == request.Unknown && next.Outcome == request.NotRun {
		return earlier
	}
	return next
}

// noInstanceFailure returns the failure of a request that no other instance can
// take: the failure of the last attempt, if there was one.
func (s *Service) noInstanceFailure(last *request.Failure, err error) *request.Failure {
	if last != nil {
		return last
	}
	return notRun(request.ReasonNoInstance, err.Error())
}

// mayRetry reports whether another instance may be tried after the failure f:
// the work did not run or is idempotent, and its body can be sent again.
func mayRetry(f *request.Failure, idempotent bool, b *replayBody, timeLeft bool) bool {
	if f.Outcome != request.NotRun && !idempotent {
		return false
	}
	// A gate refuses a request that it cannot start before the deadline, but
	// another gate may be able to.
	if f.Reason == request.ReasonDeadline && (f.Outcome != request.NotRun || !timeLeft) {
		return false
	}
	if f.Reason == request.ReasonCancelled || f.Reason == request.ReasonBodyTruncated {
		return false
	}
	return b.replayable()
}
