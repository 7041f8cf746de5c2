package publication

import (
	"context"
	"net/netip"
	"time"

	"cassiarack.example/lib/clock"
	"cassiarack.example/lib/decision/freshness"
	"cassiarack.example/lib/wire"
)

// proofState is the proof for the configuration in force.
type proofState struct {
	freshness.Proof
	// changed is closed when a newer proof replaces this one.
	changed chan struct{}
}

// initProof sets the state without a proof.
func (s *Service) initProof() {
	if s.Boot == nil {
		s.Boot = clock.Boot
	}
	if s.KeyRevocation > 0 && s.Boot().IsZero() {
		s.Log.Error("The boot clock cannot be read; requests with keys are refused.")
	}
	s.proof.Store(&proofState{changed: make(chan struct{})})
}

// Proof returns the version of a configuration and the earliest boot time at which a
// read of the store that returned it may have begun. The time is zero if there is no
// proof. Without organisations and with a KeyRevocation of zero, delays of announcements
// in the network are not subtracted.
func (s *Service) Proof() (version uint64, provedAt time.Time) {
	p := s.proof.Load()
	return p.Version, p.ProvedAt
}

// Fresh reports whether the configuration in force at the boot time now is recent enough
// for requests with keys. It is always so if KeyRevocation is zero.
func (s *Service) Fresh(now time.Time) bool {
	return s.KeyRevocation == 0 || s.proof.Load().Fresh(now, s.KeyRevocation)
}

// exchangesProof reports whether proofs are exchanged with the ages and clocks that they
// need. Without them, an announcement that waited while the process was stopped would
// allow a 401 for a key that is newer.
func (s *Service) exchangesProof() bool {
	t := s.State().Table
	return s.KeyRevocation > 0 || t != nil && t.Register != nil
}

// ProofChanged returns a channel that is closed when a newer proof replaces the current
// one. A caller that waits for a proof gets the channel before it calls Proof.
func (s *Service) ProofChanged() <-chan struct{} { return s.proof.Load().changed }

// prove keeps p if it is for the version in force and newer than the current proof.
func (s *Service) prove(p freshness.Proof) {
	old := s.proof.Load()
	if p.Version != s.config.version() || !p.Replaces(old.Proof) {
		return
	}
	s.proof.Store(&proofState{Proof: p, changed: make(chan struct{})})
	close(old.changed)
}

// voidOldProof drops the proof of a version that is no longer in force. It is called
// after the configuration and its own proof have been applied, so that requests in
// between are served by the proof of the older version.
func (s *Service) voidOldProof() {
	if v := s.config.version(); s.proof.Load().Version < v {
		s.prove(freshness.Proof{Version: v})
	}
}

// proofOf returns the proof for a version, which has no time if there is none.
func (s *Service) proofOf(version uint64) freshness.Proof {
	if p := s.proof.Load(); p.Version == version {
		return p.Proof
	}
	return freshness.Proof{Version: version}
}

// applyStoreConfig applies the configuration that a read of the store returned, which
// began at the boot time began.
func (s *Service) applyStoreConfig(began time.Time, text []byte) {
	if version := s.applyConfig(text, "store"); version > 0 {
		s.prove(freshness.Proof{Version: version, ProvedAt: began})
	}
	s.voidOldProof()
}

// proveBySnapshot applies what a snapshot proves that was asked for at the boot time
// asked.
func (s *Service) proveBySnapshot(asked time.Time, r *wire.SnapshotReply) {
	age := time.Duration(r.GetConfigAge())
	if !s.exchangesProof() {
		age = stateAge(time.Duration(r.GetAge()))
	}
	s.proveByStatement(asked, r.GetConfigVersion(), age)
	s.voidOldProof()
}

// stateAge returns the age of published state as that of a proof, which is positive.
func stateAge(age time.Duration) time.Duration {
	if age == 0 {
		return 1
	}
	return age
}

// proveByStatement applies the statement of another sidecar that was made at the boot
// time at or later.
func (s *Service) proveByStatement(at time.Time, version uint64, age time.Duration) {
	if p, ok := (freshness.Statement{Version: version, Age: age}).Proof(at); ok {
		s.prove(p)
	}
}

// addProof adds the age of the proof to an announcement, and the clock that the age
// refers to.
func (s *Service) addProof(a *wire.Announcement) {
	now := s.Boot()
	if !s.exchangesProof() || now.IsZero() {
		return
	}
	a.ConfigAge = int64(s.proofOf(a.GetConfigVersion()).Statement(now).Age)
	a.Clock = int64(clock.Uptime(now))
}

// proveByAnnouncement applies what an announcement proves, and asks the sender for its
// clock if it has to be known for that.
func (s *Service) proveByAnnouncement(arrived time.Time, from netip.Addr, incarnation uint64, a *wire.Announcement) {
	if !s.exchangesProof() {
		s.proveByStatement(arrived, a.GetConfigVersion(), stateAge(time.Duration(a.GetAge())))
		return
	}
	if a.GetClock() == 0 {
		return
	}
	now := s.Boot()
	if s.clocks.NeedsExchange(now, from, incarnation) && s.questions.Take(now) {
		s.askClock(from)
	}
	statement := freshness.Statement{Version: a.GetConfigVersion(), Age: time.Duration(a.GetConfigAge())}
	if p, ok := s.clocks.Announced(now, from, incarnation, time.Duration(a.GetClock()), statement); ok {
		s.prove(p)
	}
}

// askClock asks another sidecar for its clock and its proof.
func (s *Service) askClock(to netip.Addr) {
	nonce := s.Random.Uint64()
	s.clocks.Ask(nonce, to, s.Boot())
	s.Scope.Counter("proof_questions").Inc(1)
	s.notices.Send(&wire.Notice{ClockRequest: &wire.ClockRequest{Nonce: nonce}}, []netip.Addr{to})
}

// handleClockRequest replies to a question for the clock and the proof.
func (s *Service) handleClockRequest(_ time.Time, from netip.Addr, n *wire.Notice) {
	q := n.GetClockRequest()
	if q == nil || !s.exchangesProof() {
		return
	}
	p, now := s.proof.Load(), s.Boot()
	if now.IsZero() {
		return
	}
	statement := p.Statement(now)
	s.notices.Send(&wire.Notice{ClockReply: &wire.ClockReply{Nonce: q.GetNonce(), Clock: int64(clock.Uptime(now)),
		ConfigVersion: statement.Version, ConfigAge: int64(statement.Age)}}, []netip.Addr{from})
}

// handleClockReply applies the reply to a question. It fetches the state of a sidecar
// that has a newer configuration.
func (s *Service) handleClockReply(_ time.Time, from netip.Addr, n *wire.Notice) {
	r := n.GetClockReply()
	if r == nil || !s.exchangesProof() {
		return
	}
	incarnation := n.GetIncarnation()
	err := s.commands.Offer(func(now time.Time) {
		asked, ok := s.clocks.Reply(s.Boot(), r.GetNonce(), from, incarnation, time.Duration(r.GetClock()))
		if !ok {
			return
		}
		if r.GetConfigVersion() > s.config.version() {
			s.fetchSnapshot(context.Background(), now, from)
			return
		}
		s.proveByStatement(asked, r.GetConfigVersion(), time.Duration(r.GetConfigAge()))
	})
	if err != nil {
		s.Log.Warn("A reply about the configuration was dropped.", "from", from, "err", err)
	}
}

// checkProof asks another sidecar if the proof is old, and logs when it becomes too old
// and when it is recent again.
func (s *Service) checkProof(now time.Time) {
	if !s.exchangesProof() {
		return
	}
	p := s.proof.Load().Proof
	if to, ok := s.questions.Next(now, p, s.dataCentrePeers, s.remotePeers, s.Random); ok {
		s.askClock(to)
	}
	age, ok := p.Age(now)
	if !ok {
		return
	}
	s.Scope.Gauge("configuration_proof_age_seconds").Update(age.Seconds())
	tooOld := !s.Fresh(now)
	if tooOld && !s.proofTooOld {
		s.Log.Warn("The configuration is not known to be recent enough for keys.", "version", p.Version, "age", age, "limit", s.KeyRevocation)
	}
	if !tooOld && s.proofTooOld {
		s.Log.Info("The configuration is known to be recent again.", "version", p.Version, "age", age)
	}
	s.proofTooOld = tooOld
}
