package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

const (
	// clientsPerVM is the number of connections that are in use on each VM.
	clientsPerVM = 2
	// faultPause is the longest time between two faults; faults last longer, so
	// that they overlap.
	faultPause = 500 * time.Millisecond
	// recoverBound is how long sidecars may take to be ready after the last fault.
	recoverBound = 15 * time.Second
	// faultTime is the longest time that a fault lasts.
	faultTime = 3 * time.Second
)

// Soak plays faults for a time and returns all broken promises. The faults and
// their order follow from the seed; what the processes do at the same time does
// not.
func (m *Mesh) Soak(ctx context.Context, seed uint64, length time.Duration, log func(format string, args ...any)) (*Outcome, []string) {
	using, leave := context.WithCancel(ctx)
	defer leave()
	o := NewOutcome()
	var clients sync.WaitGroup
	for _, v := range m.VMs {
		for n := range clientsPerVM {
			clients.Go(func() { m.Client(using, v, fmt.Sprintf("c%d-%d", v.Index, n), o) })
		}
	}
	s := soak{Mesh: m, rng: rand.New(rand.NewPCG(seed, 1)), log: log}
	s.faults(ctx, length)
	s.repairs.Wait()
	m.Store.SetMode(Sound)
	s.calm(ctx)
	leave()
	clients.Wait()
	return o, append(s.broken, m.Finish(o)...)
}

// soak is the state of one run.
type soak struct {
	*Mesh
	rng     *rand.Rand
	log     func(format string, args ...any)
	repairs sync.WaitGroup
	// signalled holds a lock for each VM, as a process is in one state at a time.
	signalled map[*VM]*sync.Mutex
	broken    []string
}

// faults injects faults until length has passed.
func (s *soak) faults(ctx context.Context, length time.Duration) {
	s.signalled = make(map[*VM]*sync.Mutex)
	for _, v := range s.VMs {
		s.signalled[v] = new(sync.Mutex)
	}
	kinds := []func(v *VM, d time.Duration){s.kill, s.term, s.freeze, s.hangup, s.misbehave, s.misbehave, s.storeFault,
		s.cut, s.cut, s.reconfigure}
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		kinds[s.rng.IntN(len(kinds))](s.VMs[s.rng.IntN(len(s.VMs))], faultTime/10+time.Duration(s.rng.Int64N(int64(faultTime))))
		time.Sleep(time.Duration(s.rng.Int64N(int64(faultPause))))
	}
}

// later repairs a fault after a time.
func (s *soak) later(d time.Duration, f func()) {
	s.repairs.Go(func() {
		time.Sleep(d)
		f()
	})
}

// stopped runs f while no other fault signals the sidecar of a VM.
func (s *soak) stopped(v *VM, f func()) {
	s.repairs.Go(func() {
		s.signalled[v].Lock()
		defer s.signalled[v].Unlock()
		f()
	})
}

func (s *soak) signal(v *VM, sig syscall.Signal) {
	if err := v.Signal(sig); err != nil {
		s.log("signal %v to VM %d: %v", sig, v.Index, err)
	}
}

// restart waits for the end of a sidecar and starts it again.
func (s *soak) restart(v *VM) {
	<-v.exited
	v.Disturb()
	if err := s.Launch(v); err != nil {
		s.log("restart of VM %d: %v", v.Index, err)
	}
	v.Disturb()
}

func (s *soak) kill(v *VM, _ time.Duration) {
	s.log("kill VM %d", v.Index)
	s.stopped(v, func() {
		s.signal(v, syscall.SIGKILL)
		s.restart(v)
	})
}

func (s *soak) term(v *VM, _ time.Duration) {
	s.log("terminate VM %d", v.Index)
	s.stopped(v, func() {
		s.signal(v, syscall.SIGTERM)
		select {
		case <-v.exited:
		case <-time.After(graceTime):
			s.signal(v, syscall.SIGKILL)
		}
		s.restart(v)
	})
}

func (s *soak) freeze(v *VM, d time.Duration) {
	s.log("freeze VM %d for %v", v.Index, d)
	s.stopped(v, func() {
		s.signal(v, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(v, syscall.SIGCONT)
	})
}

// hangup may meet a sidecar in any state, also during its stop.
func (s *soak) hangup(v *VM, _ time.Duration) {
	s.log("hang up VM %d", v.Index)
	if s.signalled[v].TryLock() {
		defer s.signalled[v].Unlock()
		s.signal(v, syscall.SIGHUP)
	}
}

func (s *soak) misbehave(v *VM, d time.Duration) {
	mode := InstanceModes[s.rng.IntN(len(InstanceModes))]
	s.log("instance of VM %d: %s for %v", v.Index, mode, d)
	v.Instance.SetMode(mode)
	s.later(d, func() { v.Instance.SetMode(Sound) })
}

func (s *soak) storeFault(_ *VM, d time.Duration) {
	modes := []Mode{Busy, Many, Reset, Silent, Slow}
	mode := modes[s.rng.IntN(len(modes))]
	s.log("store: %s for %v", mode, d)
	s.Store.SetMode(mode)
	s.later(d, func() { s.Store.SetMode(Sound) })
}

// cut delays, cuts one way or resets the connections of a VM to its instance or
// to the store.
func (s *soak) cut(v *VM, d time.Duration) {
	p, where := v.proxy, "instance"
	if s.rng.IntN(2) == 0 {
		p, where = v.store, "store"
	}
	kinds := []struct{ kind, attributes string }{{"latency", `{"latency":200,"jitter":150}`}, {"timeout", `{"timeout":0}`},
		{"reset_peer", `{"timeout":0}`}, {"bandwidth", `{"rate":2}`}}
	k := kinds[s.rng.IntN(len(kinds))]
	stream := []string{"upstream", "downstream"}[s.rng.IntN(2)]
	s.log("%s of VM %d: %s %s for %v", where, v.Index, k.kind, stream, d)
	v.Disturb()
	s.toxic(p, v, k.kind, stream, k.attributes, d)
}

func (s *soak) toxic(p *toxiproxy.Proxy, v *VM, kind, stream, attributes string, d time.Duration) {
	remove, err := Toxic(p, kind, stream, attributes)
	if err != nil {
		// The same fault is in force already.
		return
	}
	s.later(d, func() {
		remove()
		v.Disturb()
	})
}

func (s *soak) reconfigure(*VM, time.Duration) {
	s.log("new configuration")
	n := len(s.routes)
	s.Configure([]route{{fmt.Sprintf("r%d", n), fmt.Sprintf("/added%d/", n), "safe", "beta", 2 * time.Second, 2}})
}

// calm checks draining and a new configuration without other faults.
func (s *soak) calm(ctx context.Context) {
	recovery, cancel := context.WithTimeout(ctx, recoverBound)
	defer cancel()
	if err := s.awaitReady(recovery); err != nil {
		s.broken = append(s.broken, fmt.Sprintf("recover: %v", err))
		return
	}
	time.Sleep(calmTime)
	s.reconfigure(nil, 0)
	leaving := s.VMs[s.rng.IntN(len(s.VMs))]
	s.Register(leaving, "draining")
	leaving.Instance.Leave(time.Now())
	time.Sleep(drainBound + time.Second)
	path := s.routes[len(s.routes)-1].prefix
	for _, v := range s.VMs {
		if status := s.ask(ctx, v, path, fmt.Sprintf("calm%d", v.Index)); status == 404 || status == 0 {
			s.broken = append(s.broken, fmt.Sprintf("config: VM %d answers %d on a new route", v.Index, status))
		}
	}
}
