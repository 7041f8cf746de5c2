package publication

import "time"

// proof is the time up to which the configuration in force is known to include all
// changes: no newer one was acknowledged before.
type proof struct {
	at time.Time
	// changed is closed when there is a newer proof.
	changed chan struct{}
}

// ProvedAt returns the time up to which the configuration in force includes all
// changes, or zero before the first proof. A caller that reads the state afterwards
// gets a configuration that the proof holds for.
func (s *Service) ProvedAt() time.Time { return s.proof.Load().at }

// Changed returns a channel that is closed at the next proof.
func (s *Service) Changed() <-chan struct{} { return s.proof.Load().changed }

// prove records that the configuration in force, or one before it, was read from the
// store in a read that began at the given time. It is called after the configuration
// was published.
func (s *Service) prove(at time.Time) {
	last := s.proof.Load()
	if s.config.table == nil || !at.After(last.at) {
		return
	}
	s.proof.Store(&proof{at: at, changed: make(chan struct{})})
	close(last.changed)
}
