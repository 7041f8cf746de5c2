package limiter

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// counters are the metrics of the limiter. None has the name of an organisation as a
// label, because there may be many.
type counters struct {
	admitted, refused, noLedger, busy tally.Counter
	asked, granted, expired, returned tally.Counter
	// The counters below are those of commands that found the ring full.
	droppedQuestions, droppedReplies, droppedReturns tally.Counter

	oldestQuestion, stocks, buckets tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	requests := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter("limited_requests")
	}
	credits := func(event string) tally.Counter {
		return scope.Tagged(map[string]string{"event": event}).Counter("limit_credits")
	}
	dropped := func(command string) tally.Counter {
		return scope.Tagged(map[string]string{"command": command}).Counter("limit_commands_dropped")
	}
	return counters{
		admitted: requests("admitted"), refused: requests("refused"), noLedger: requests("no_ledger"), busy: requests("busy"),
		asked: credits("asked"), granted: credits("granted"), expired: credits("expired"), returned: credits("returned"),
		droppedQuestions: dropped("question"), droppedReplies: dropped("reply"), droppedReturns: dropped("return"),
		oldestQuestion: scope.Gauge("limit_question_age_seconds"), stocks: scope.Gauge("limit_stocks"),
		buckets: scope.Gauge("limit_buckets"),
	}
}

// updateGauges updates the gauges.
func (s *Service) updateGauges(now time.Time) {
	age := time.Duration(0)
	if at, ok := s.entry.OldestQuestion(); ok {
		age = now.Sub(at)
	}
	s.counters.oldestQuestion.Update(age.Seconds())
	s.counters.stocks.Update(float64(s.entry.Stocks()))
	s.counters.buckets.Update(float64(s.ledger.Buckets()))
}
