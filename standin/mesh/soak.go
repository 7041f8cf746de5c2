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
	// clientsPerVM is the number of clients of each VM, each with one connection.
	clientsPerVM = 2
	// maxFaultPause is the longest time between the starts of two faults. Most faults
	// last longer, so that they overlap.
	maxFaultPause = 500 * time.Millisecond
	// maxRecoveryTime limits the time from the last fault until all sidecars are
	// ready.
	maxRecoveryTime = 15 * time.Second
	// faultTimeRange determines how long a fault lasts: 0.1 to 1.1 times this value.
	faultTimeRange = 3 * time.Second
	// startTime is the time after its launch in which SIGHUP may end a sidecar, as
	// no program can catch a signal before it is loaded. With the race detector
	// that takes 10 ms of processor time.
	startTime = 300 * time.Millisecond
)

// Soak injects faults for the given length of time while clients send requests. It
// then checks that the sidecars recover, and returns the clients' results and all
// violations. The seed determines the faults and their order, but not what the
// processes do meanwhile.
func (m *Mesh) Soak(ctx context.Context, seed uint64, length time.Duration, log func(format string, args ...any)) (*Outcome, []string) {
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	o := NewOutcome()
	var clients sync.WaitGroup
	for _, v := range m.VMs {
		for n := range clientsPerVM {
			clients.Go(func() { m.RunClient(clientCtx, v, fmt.Sprintf("c%d-%d", v.Index, n), o) })
		}
	}
	s := soak{Mesh: m, rng: rand.New(rand.NewPCG(seed, 1)), log: log}
	s.injectFaults(ctx, length)
	s.repairs.Wait()
	m.Store.SetMode(Healthy)
	s.checkRecovery(ctx)
	stopClients()
	clients.Wait()
	s.violations = append(s.violations, m.OwnEnds()...)
	if m.accounts != nil {
		s.violations = append(s.violations, m.checkAccounts()...)
	}
	return o, append(s.violations, m.CheckExecutions(o)...)
}

// soak is the state of one run of Soak.
type soak struct {
	*Mesh
	rng     *rand.Rand
	log     func(format string, args ...any)
	repairs sync.WaitGroup
	// processLocks has a lock for each VM, so that only one fault at a time kills,
	// stops or suspends its sidecar.
	processLocks map[*VM]*sync.Mutex
	violations   []string
}

// injectFaults injects faults until length has passed.
func (s *soak) injectFaults(ctx context.Context, length time.Duration) {
	s.processLocks = make(map[*VM]*sync.Mutex)
	for _, v := range s.VMs {
		s.processLocks[v] = new(sync.Mutex)
	}
	kinds := []func(v *VM, d time.Duration){s.kill, s.terminate, s.freeze, s.hangup, s.instanceFault, s.instanceFault, s.storeFault,
		s.networkFault, s.networkFault, s.reconfigure}
	if s.accounts != nil {
		kinds = append(kinds, s.addKey, s.revokeKey, s.changeLimit, s.heat)
	}
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		kinds[s.rng.IntN(len(kinds))](s.VMs[s.rng.IntN(len(s.VMs))], faultTimeRange/10+time.Duration(s.rng.Int64N(int64(faultTimeRange))))
		time.Sleep(time.Duration(s.rng.Int64N(int64(maxFaultPause))))
	}
}

// repairAfter calls f, which repairs a fault, after the time d.
func (s *soak) repairAfter(d time.Duration, f func()) {
	s.repairs.Go(func() {
		time.Sleep(d)
		f()
	})
}

// withProcessLock runs f in a new goroutine with the process lock of a VM held.
func (s *soak) withProcessLock(v *VM, f func()) {
	s.accounts.disturb(time.Now())
	s.repairs.Go(func() {
		s.processLocks[v].Lock()
		defer s.processLocks[v].Unlock()
		f()
		s.accounts.calm(time.Now())
	})
}

// signal sends a signal to the sidecar of a VM and logs a failure.
func (s *soak) signal(v *VM, sig syscall.Signal) {
	if err := v.Signal(sig); err != nil {
		s.log("signal %v to VM %d failed: %v", sig, v.Index, err)
	}
}

// restart waits until the sidecar of a VM has exited, and starts it again.
func (s *soak) restart(v *VM) {
	<-v.exited
	v.RecordFault()
	if err := s.Launch(v); err != nil {
		s.log("restart of VM %d failed: %v", v.Index, err)
	}
	v.RecordFault()
}

func (s *soak) kill(v *VM, _ time.Duration) {
	s.log("kill the sidecar of VM %d", v.Index)
	s.withProcessLock(v, func() {
		s.signal(v, syscall.SIGKILL)
		s.restart(v)
	})
}

func (s *soak) terminate(v *VM, _ time.Duration) {
	s.log("terminate the sidecar of VM %d", v.Index)
	s.withProcessLock(v, func() {
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
	s.log("freeze the sidecar of VM %d for %v", v.Index, d)
	s.withProcessLock(v, func() {
		s.signal(v, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(v, syscall.SIGCONT)
	})
}

// hangup sends SIGHUP to the sidecar of a VM, unless another fault holds the process
// lock. A sidecar that is still being loaded may end; it is then started again, as
// the platform does.
func (s *soak) hangup(v *VM, _ time.Duration) {
	s.log("SIGHUP to the sidecar of VM %d", v.Index)
	if !s.processLocks[v].TryLock() {
		return
	}
	loading := time.Since(v.launched) < startTime
	if !loading {
		defer s.processLocks[v].Unlock()
		s.signal(v, syscall.SIGHUP)
		return
	}
	s.accounts.disturb(time.Now())
	s.repairs.Go(func() {
		defer s.processLocks[v].Unlock()
		defer func() { s.accounts.calm(time.Now()) }()
		v.endExpected.Store(true)
		s.signal(v, syscall.SIGHUP)
		select {
		case <-v.exited:
			s.restart(v)
		case <-time.After(startTime):
			v.endExpected.Store(false)
		}
	})
}

func (s *soak) instanceFault(v *VM, d time.Duration) {
	mode := InstanceModes[s.rng.IntN(len(InstanceModes))]
	s.log("instance of VM %d: mode %s for %v", v.Index, mode, d)
	v.Instance.SetMode(mode)
	s.repairAfter(d, func() { v.Instance.SetMode(Healthy) })
}

func (s *soak) storeFault(_ *VM, d time.Duration) {
	modes := []Mode{Unavailable, TooManyRequests, Reset, Silent, Slow}
	mode := modes[s.rng.IntN(len(modes))]
	s.log("store: mode %s for %v", mode, d)
	s.accounts.disturb(time.Now())
	s.Store.SetMode(mode)
	s.repairAfter(d, func() {
		s.Store.SetMode(Healthy)
		s.accounts.calm(time.Now())
	})
}

// networkFault affects one direction of the connections of a VM to its instance or
// to the store: it delays the data, stops them, resets the connections or limits
// their bandwidth.
func (s *soak) networkFault(v *VM, d time.Duration) {
	p, where := v.instanceProxy, "instance"
	if s.rng.IntN(2) == 0 {
		p, where = v.storeProxy, "store"
	}
	kinds := []struct{ kind, attributes string }{{"latency", `{"latency":200,"jitter":150}`}, {"timeout", `{"timeout":0}`},
		{"reset_peer", `{"timeout":0}`}, {"bandwidth", `{"rate":2}`}}
	k := kinds[s.rng.IntN(len(kinds))]
	stream := []string{"upstream", "downstream"}[s.rng.IntN(2)]
	s.log("connections to the %s of VM %d: %s %s for %v", where, v.Index, k.kind, stream, d)
	v.RecordFault()
	s.addToxic(p, v, k.kind, stream, k.attributes, d)
}

// addToxic adds a fault to a proxy of a VM for the time d.
func (s *soak) addToxic(p *toxiproxy.Proxy, v *VM, kind, stream, attributes string, d time.Duration) {
	remove, err := AddToxic(p, kind, stream, attributes)
	if err != nil {
		// The same fault is already in force.
		return
	}
	s.accounts.disturb(time.Now())
	s.repairAfter(d, func() {
		remove()
		s.accounts.calm(time.Now())
		v.RecordFault()
	})
}

func (s *soak) reconfigure(*VM, time.Duration) {
	s.log("publish a new configuration")
	n := len(s.routes)
	s.Configure([]route{{fmt.Sprintf("r%d", n), fmt.Sprintf("/added%d/", n), "safe", "beta", 2 * time.Second, 2}})
}

// checkRecovery checks, without further faults, that all sidecars become ready, that
// a draining instance gets no more requests, and that a new route takes effect.
func (s *soak) checkRecovery(ctx context.Context) {
	recovery, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	if err := s.awaitReady(recovery); err != nil {
		s.violations = append(s.violations, fmt.Sprintf("recover: %v", err))
		return
	}
	if s.accounts != nil {
		// Without faults, a lower limit binds before the clients end.
		s.setLimit(1, soakRates[1]/5, disturbanceTime+maxDrainDelay)
	}
	time.Sleep(disturbanceTime)
	s.reconfigure(nil, 0)
	draining := s.VMs[s.rng.IntN(len(s.VMs))]
	s.Register(draining, "draining")
	draining.Instance.RecordDraining(time.Now())
	time.Sleep(maxDrainDelay + time.Second)
	path := s.routes[len(s.routes)-1].prefix
	for _, v := range s.VMs {
		if status := s.get(ctx, v, path, fmt.Sprintf("calm%d", v.Index)); status == 404 || status == 0 {
			s.violations = append(s.violations, fmt.Sprintf("config: VM %d answers a request to a new route with status %d", v.Index, status))
		}
	}
}
