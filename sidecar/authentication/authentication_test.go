package authentication

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/freshness"
	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/golden"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/publication"
)

// fakePublication implements Tables, Proofs and Journal.
type fakePublication struct {
	mu      sync.Mutex
	state   *publication.State
	proof   freshness.Proof
	changed chan struct{}
	// lineAt is the time of the last line that the journal was asked about.
	lineAt time.Time
	// keyRevocation is the age up to which keys are accepted; zero means any age.
	keyRevocation time.Duration
}

func (f *fakePublication) State() *publication.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakePublication) Proof() (uint64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proof.Version, f.proof.ProvedAt
}

func (f *fakePublication) Fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keyRevocation == 0 || f.proof.Fresh(now, f.keyRevocation)
}

func (f *fakePublication) ProofChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakePublication) AllowRequestLine(now time.Time, _ string, _ bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lineAt = now
	return true
}

// publish puts a configuration in force whose only organisation has the given keys.
func (f *fakePublication) publish(version uint64, keys ...string) {
	var list []organisation.Organisation
	for n, k := range keys {
		list = append(list, organisation.Organisation{Name: fmt.Sprint("o", n), Keys: []organisation.Key{organisation.NewKey(k)}})
	}
	t := routing.Compile(&routing.Configuration{Version: version})
	var err error
	if t.Register, err = organisation.NewRegister(nil, list); err != nil {
		panic(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = &publication.State{Table: t}
}

// prove gives a proof.
func (f *fakePublication) prove(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proof = freshness.Proof{Version: 1, ProvedAt: at}
	close(f.changed)
	f.changed = make(chan struct{})
}

// start returns a service with a configuration of version 1, its publication and its
// log.
func start(keyRevocation time.Duration) (*Service, *fakePublication, *bytes.Buffer) {
	f := &fakePublication{changed: make(chan struct{}), keyRevocation: keyRevocation}
	f.publish(1, "Secret1")
	var logged bytes.Buffer
	s := &Service{Now: time.Now, Scope: tally.NewTestScope("", nil),
		Log:    log.NewWithOptions(&logged, log.Options{Level: log.DebugLevel, Formatter: log.LogfmtFormatter}),
		tables: f, proofs: f, journal: f, waiting: make(chan struct{}, maxWaiting)}
	return s, f, &logged
}

// ask authenticates a request with a key that arrives now and describes the result.
func ask(ctx context.Context, s *Service, key string, public bool) string {
	began := time.Now()
	h := http.Header{}
	if key != "" {
		h.Set("Authorization", "Bearer "+key)
	}
	o, a := s.Authenticate(ctx, h, &routing.Route{Name: "r", Public: public}, s.tables.State().Table, began)
	return fmt.Sprintf("%s after %v", describe(o, a), time.Since(began))
}

func describe(o *organisation.Organisation, a *message.Answer) string {
	switch {
	case a != nil:
		return fmt.Sprintf("%d %q, challenge %t, retry %t", a.Status, strings.TrimSpace(string(a.Body)),
			a.Header.Get("Www-Authenticate") != "", a.Header.Get("Retry-After") != "")
	case o != nil:
		return "served for " + o.Name
	}
	return "served without an organisation"
}

// TestUnknownKey guards against a 401 for a key that is newer than the configuration in
// force, which callers do not repeat, and against requests that wait for too long.
// Without the wait, or if any proof counts, the keys that are published later get 401.
func TestUnknownKey(t *testing.T) {
	const after = 300 * time.Millisecond
	steps := []struct {
		name string
		// later is called after the request has arrived.
		later func(f *fakePublication, arrived time.Time)
	}{
		{"no proof", func(*fakePublication, time.Time) {}},
		{"proof after arrival", func(f *fakePublication, at time.Time) { f.prove(at.Add(time.Millisecond)) }},
		{"proof at arrival", func(f *fakePublication, at time.Time) { f.prove(at) }},
		{"proof before arrival", func(f *fakePublication, at time.Time) { f.prove(at.Add(-time.Millisecond)) }},
		{"proof before arrival, then after", func(f *fakePublication, at time.Time) {
			f.prove(at.Add(-time.Millisecond))
			time.Sleep(100 * time.Millisecond)
			f.prove(at.Add(time.Millisecond))
		}},
		{"key is published", func(f *fakePublication, at time.Time) {
			f.publish(2, "Secret1", "Secret2")
			f.prove(at.Add(-time.Millisecond))
		}},
		{"another key is published", func(f *fakePublication, at time.Time) {
			f.publish(2, "Secret1", "Secret3")
			f.prove(at.Add(time.Millisecond))
		}},
		{"organisations are removed", func(f *fakePublication, at time.Time) {
			f.publish(2)
			f.prove(at.Add(time.Millisecond))
		}},
	}
	var b strings.Builder
	for _, st := range steps {
		synctest.Test(t, func(t *testing.T) {
			s, f, logged := start(0)
			f.prove(time.Now())
			time.Sleep(50 * time.Millisecond)
			arrived := time.Now()
			go func() {
				time.Sleep(after)
				st.later(f, arrived)
			}()
			fmt.Fprintf(&b, "%s: %s\n", st.name, ask(t.Context(), s, "Secret2", false))
			if strings.Contains(logged.String(), "Secret") {
				t.Errorf("a key was logged: %s", logged)
			}
			synctest.Wait()
		})
	}
	golden.Check(t, "unknown", b.String())
}

// TestSlowHead guards against a 401 by a proof that is older than the end of the head,
// as the key may be newer than it.
func TestSlowHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f, _ := start(0)
		firstByte := time.Now()
		time.Sleep(time.Second)
		f.prove(time.Now())
		time.Sleep(time.Second)
		h := http.Header{"Authorization": {"Bearer Secret2"}}
		_, a := s.Authenticate(t.Context(), h, &routing.Route{Name: "r"}, s.tables.State().Table, firstByte)
		is.Equal(describe(nil, a), `503 "not run: unconfirmed key", challenge false, retry true`)
	})
}

// TestLineTime guards against lines that the journal counts by the boot clock. Its limit
// would refill by the years since 1970 when another service writes a line.
func TestLineTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f, _ := start(0)
		offset := time.Since(time.Unix(0, 0))
		s.Now = func() time.Time { return time.Now().Add(-offset) }
		ask(t.Context(), s, "", false)
		is.Equal(f.lineAt, time.Now())
	})
}

// TestWaiting guards against unknown keys that hold more than maxWaiting requests, also
// after some of their clients left, and against known keys that are refused meanwhile.
func TestWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f, _ := start(0)
		leave, cancel := context.WithCancel(t.Context())
		results := make(chan string, maxWaiting)
		for n := range maxWaiting {
			ctx := t.Context()
			if n%2 == 0 {
				ctx = leave
			}
			go func() { results <- ask(ctx, s, "Secret2", false) }()
		}
		synctest.Wait()
		is.Equal(ask(t.Context(), s, "Secret2", false), `503 "not run: too many unconfirmed keys", challenge false, retry true after 0s`)
		is.Equal(ask(t.Context(), s, "Secret1", false), "served for o0 after 0s")
		is.Equal(ask(t.Context(), s, "Secret2", true), "served without an organisation after 0s")
		is.Equal(ask(t.Context(), s, "", false), `401 "not run: missing key", challenge true, retry false after 0s`)
		cancel()
		synctest.Wait()
		is.Equal(len(results), maxWaiting/2)
		for range maxWaiting / 2 {
			is.Equal(<-results, `503 "not run: unconfirmed key", challenge false, retry true after 0s`)
		}
		time.Sleep(10 * time.Millisecond)
		f.prove(time.Now())
		for range maxWaiting / 2 {
			is.Equal(<-results, `401 "not run: unknown key", challenge true, retry false after 10ms`)
		}
		var counters []string
		for _, c := range s.Scope.(tally.TestScope).Snapshot().Counters() {
			counters = append(counters, fmt.Sprint(c.Name(), c.Tags()["result"], c.Value()))
		}
		slices.Sort(counters)
		golden.Check(t, "counters", strings.Join(counters, "\n")+"\n")
	})
}

// TestStale guards against keys that are accepted although they may have been revoked,
// against 401 instead of 503 meanwhile, and against a sidecar that is ready while it
// refuses all keys. Without keyRevocation, or without organisations, any age will do.
func TestStale(t *testing.T) {
	var b strings.Builder
	for _, keyRevocation := range []time.Duration{0, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s, f, logged := start(keyRevocation)
			show := func(name string) {
				fmt.Fprintf(&b, "bound %v, %s: ready %t\n", keyRevocation, name, s.Ready())
				for _, key := range []string{"Secret1", "Secret2", ""} {
					for _, public := range []bool{false, true} {
						fmt.Fprintf(&b, "  key %q, public %t: %s\n", key, public, ask(t.Context(), s, key, public))
					}
				}
			}
			show("no proof")
			f.prove(time.Now())
			time.Sleep(4895 * time.Millisecond)
			fmt.Fprintf(&b, "bound %v, proof of 4.895 s: ready %t, %s\n", keyRevocation, s.Ready(), ask(t.Context(), s, "Secret1", false))
			time.Sleep(time.Millisecond)
			show("proof of 4.896 s")
			if strings.Contains(logged.String(), "Secret") {
				t.Errorf("a key was logged: %s", logged)
			}
			f.publish(2)
			fmt.Fprintf(&b, "bound %v, without organisations: ready %t, %s\n", keyRevocation, s.Ready(), ask(t.Context(), s, "Secret1", false))
		})
	}
	golden.Check(t, "stale", b.String())
}

// orderedPublication revokes a key and proves that between two calls of the service.
type orderedPublication struct {
	*fakePublication
	revoke func()
}

func (p *orderedPublication) Fresh(now time.Time) bool {
	fresh := p.fakePublication.Fresh(now)
	p.revoke()
	return fresh
}

// TestProofOrder guards against a key that is accepted by an old configuration with the
// proof of a newer one, which revoked it. It fails if the configuration is read before
// the proof.
func TestProofOrder(t *testing.T) {
	is := is.New(t)
	s, f, _ := start(5 * time.Second)
	f.prove(time.Now())
	s.proofs = &orderedPublication{f, func() { f.publish(2, "Secret2"); f.prove(time.Now().Add(time.Hour)) }}
	_, a := s.Authenticate(t.Context(), http.Header{"Authorization": {"Bearer Secret1"}}, &routing.Route{}, f.State().Table, time.Now())
	is.True(a != nil)
	is.Equal(a.Status, http.StatusUnauthorized)
}
