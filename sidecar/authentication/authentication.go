// Package authentication is the service that finds the organisation of a request by its
// key, and refuses requests whose key is missing or unknown.
//
// A key that is unknown here may be newer than the configuration in force. Such a
// request waits until a read of the store that began after its arrival confirms the
// configuration. It causes no call of the store, which clients could otherwise
// overload.
package authentication

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/publication"
)

const (
	// maxWait is how long a request with an unknown key waits. In normal operation, the
	// configuration is confirmed about twice a second.
	maxWait = 700 * time.Millisecond
	// maxWaiting bounds the requests that wait, as they hold connections and bodies.
	maxWaiting = 64
	// minRetryAfter and maxRetryAfter bound the random time after which a refused client
	// may try again.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
)

// Tables provides the configuration in force.
type Tables interface {
	State() *publication.State
}

// Proofs says how recent the configuration in force is.
type Proofs interface {
	// Proof returns the version of a configuration and the time up to which it is known
	// to include all changes, by the clock of Service.Now, or zero if there is no such
	// time. A caller that reads the configuration afterwards gets this version or a newer
	// one.
	Proof() (version uint64, provedAt time.Time)
	// Fresh reports whether the configuration is recent enough to accept keys.
	Fresh(now time.Time) bool
	// ProofChanged returns a channel that is closed at the next proof.
	ProofChanged() <-chan struct{}
}

// Journal limits the number of log lines about requests.
type Journal interface {
	AllowRequestLine(now time.Time, attempt string, success bool) bool
}

// Service authenticates requests.
type Service struct {
	// Now returns the present time by the clock of the proofs.
	Now   func() time.Time
	Scope tally.Scope
	Log   *log.Logger

	tables  Tables
	proofs  Proofs
	journal Journal
	// waiting has an element for each request that waits.
	waiting chan struct{}
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.tables, err = kernel.Find[Tables](dir, names.Publication); err != nil {
		return err
	}
	if s.proofs, err = kernel.Find[Proofs](dir, names.Publication); err != nil {
		return err
	}
	s.waiting = make(chan struct{}, maxWaiting)
	s.journal, err = kernel.Find[Journal](dir, names.Journal)
	return err
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Fresh reports whether the configuration is recent enough to accept keys. Without
// organisations there are no keys, and any configuration is.
func (s *Service) Fresh(now time.Time) bool {
	fresh := s.proofs.Fresh(now)
	t := s.tables.State().Table
	return t == nil || t.Register == nil || fresh
}

// Ready reports whether the sidecar serves requests with keys.
func (s *Service) Ready() bool { return s.Fresh(s.Now()) }

func (s *Service) proof(now time.Time) organisation.Proof {
	_, at := s.proofs.Proof()
	return organisation.Proof{ProvedAt: at, Fresh: s.proofs.Fresh(now)}
}

// examination is the examination of one request.
type examination struct {
	attempt  string
	key      organisation.Key
	request  organisation.Request
	route    *routing.Route
	received time.Time

	// The fields below hold the last result.
	verdict      organisation.Verdict
	organisation *organisation.Organisation
	version      uint64
	proof        organisation.Proof
}

// Authenticate returns the organisation of a request that was received at the given
// time, or nil if it has none, or the response to a request that is refused. It waits
// until the verdict is certain, at most until ctx ends. The table holds the route.
func (s *Service) Authenticate(ctx context.Context, header http.Header, route *routing.Route, table *routing.Table,
	received time.Time) (*organisation.Organisation, *message.Answer) {
	if table.Register == nil {
		return nil, nil
	}
	x := &examination{attempt: platform.AttemptID(header), route: route, received: received}
	// Received is the time of the first byte, and the client may have sent the key later.
	// A time of arrival that is too late is safe, as it asks for a newer proof.
	x.request.ArrivedAt = s.Now()
	var err error
	x.key, err = platform.APIKey(header)
	switch {
	case platform.IsKind(err, platform.KindMissing):
		x.request.Presented = organisation.NoKey
	case err != nil:
		x.request.Presented = organisation.Malformed
	default:
		x.request.Presented = organisation.Unknown
	}
	reason := s.settle(ctx, x)
	s.Scope.Tagged(map[string]string{"result": strings.ReplaceAll(reason, " ", "_")}).Counter("authentications").Inc(1)
	if x.verdict == organisation.Authenticated || x.verdict == organisation.Anonymous {
		return x.organisation, nil
	}
	s.logRefusal(x, reason)
	return nil, refusal(x, reason)
}

// settle examines a request until the verdict is certain, and returns the verdict, or
// why it stays uncertain.
func (s *Service) settle(ctx context.Context, x *examination) string {
	changed := s.proofs.ProofChanged()
	s.examine(s.Now(), x)
	if x.verdict != organisation.Unconfirmed {
		return string(x.verdict)
	}
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		return "too many unconfirmed keys"
	}
	s.Scope.Counter("authentication_waits").Inc(1)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for x.verdict == organisation.Unconfirmed {
		select {
		case <-changed:
		case <-timeout.C:
			return string(x.verdict)
		case <-ctx.Done():
			return string(x.verdict)
		}
		changed = s.proofs.ProofChanged()
		s.examine(s.Now(), x)
	}
	return string(x.verdict)
}

// examine looks the key up in the configuration in force and decides. The proof is read
// before the configuration: in the other order, it could be that of a newer
// configuration, in which the key is new or revoked.
func (s *Service) examine(now time.Time, x *examination) {
	x.proof = s.proof(now)
	table := s.tables.State().Table
	r := x.request
	r.Public = x.route.Public || table.Register == nil
	var found *organisation.Organisation
	if r.Presented == organisation.Unknown {
		var known bool
		if found, known = table.Register.Find(x.key); known {
			r.Presented = organisation.Known
		}
	}
	x.verdict, x.version, x.organisation = organisation.Decide(r, x.proof), table.Configuration.Version, nil
	if x.verdict == organisation.Authenticated {
		x.organisation = found
	}
}

// logRefusal logs why a request is refused.
func (s *Service) logRefusal(x *examination, reason string) {
	// The journal limits lines by the time of day, as for all other callers.
	if !s.journal.AllowRequestLine(time.Now(), x.attempt, false) {
		return
	}
	now := s.Now()
	age := time.Duration(-1)
	if !x.proof.ProvedAt.IsZero() {
		age = now.Sub(x.proof.ProvedAt)
	}
	s.Log.Info("A request was refused.", "request", x.attempt, "reason", reason, "route", x.route.Name,
		"configVersion", x.version, "configAge", age, "waited", time.Since(x.received))
}

// refusal returns the response to a request that is refused.
func refusal(x *examination, reason string) *message.Answer {
	switch x.verdict {
	case organisation.MissingKey, organisation.MalformedKey, organisation.UnknownKey:
		return &message.Answer{Status: http.StatusUnauthorized, FromFleet: true, Header: platform.ChallengeHeader(x.attempt),
			Body: []byte("not run: " + reason + "\n")}
	}
	after := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return &message.Answer{Status: http.StatusServiceUnavailable, FromFleet: true,
		Header: platform.RefusalHeader(x.attempt, after), Body: []byte("not run: " + reason + "\n")}
}
