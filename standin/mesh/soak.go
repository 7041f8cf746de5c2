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
	// maxFaultPause is the longest time between two faults; faults last longer, so
	// that they overlap.
	maxFaultPause = 500 * time.Millisecond
	// maxRecoveryTime is how long sidecars may take to be ready after the last fault.
	maxRecoveryTime = 15 * time.Second
	// faultTimeRange is the longest time that a fault lasts.
	faultTimeRange = 3 * time.Second
)

// Soak plays faults for a time and returns all broken promises. The faults and
// their order follow from the seed; what the processes do at the same time does
// not.
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
	return o, append(s.violations, m.CheckExecutions(o)...)
}

// soak is the state of one run.
type soak struct {
	*Mesh
	rng     *rand.Rand
	log     func(format string, args ...any)
	repairs sync.WaitGroup
	// processLocks holds a lock for each VM, as a process is in one state at a time.
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
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		kinds[s.rng.IntN(len(kinds))](s.VMs[s.rng.IntN(len(s.VMs))], faultTimeRange/10+time.Duration(s.rng.Int64N(int64(faultTimeRange))))
		time.Sleep(time.Duration(s.rng.Int64N(int64(maxFaultPause))))
	}
}

// repairAfter repairs a fault after a time.
func (s *soak) repairAfter(d time.Duration, f func()) {
	s.repairs.Go(func() {
		time.Sleep(d)
		f()
	})
}

// withProcessLock runs f while no other fault signals the sidecar of a VM.
func (s *soak) withProcessLock(v *VM, f func()) {
	s.repairs.Go(func() {
		s.processLocks[v].Lock()
		defer s.processLocks[v].Unlock()
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
	v.RecordFault()
	if err := s.Launch(v); err != nil {
		s.log("restart of VM %d: %v", v.Index, err)
	}
	v.RecordFault()
}

func (s *soak) kill(v *VM, _ time.Duration) {
	s.log("kill VM %d", v.Index)
	s.withProcessLock(v, func() {
		s.signal(v, syscall.SIGKILL)
		s.restart(v)
	})
}

func (s *soak) terminate(v *VM, _ time.Duration) {
	s.log("terminate VM %d", v.Index)
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
	s.log("freeze VM %d for %v", v.Index, d)
	s.withProcessLock(v, func() {
		s.signal(v, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(v, syscall.SIGCONT)
	})
}

// hangup may meet a sidecar in any state, also during its stop.
func (s *soak) hangup(v *VM, _ time.Duration) {
	s.log("hang up VM %d", v.Index)
	if s.processLocks[v].TryLock() {
		defer s.processLocks[v].Unlock()
		s.signal(v, syscall.SIGHUP)
	}
}

func (s *soak) instanceFault(v *VM, d time.Duration) {
	mode := InstanceModes[s.rng.IntN(len(InstanceModes))]
	s.log("instance of VM %d: %s for %v", v.Index, mode, d)
	v.Instance.SetMode(mode)
	s.repairAfter(d, func() { v.Instance.SetMode(Healthy) })
}

func (s *soak) storeFault(_ *VM, d time.Duration) {
	modes := []Mode{Unavailable, TooManyRequests, Reset, Silent, Slow}
	mode := modes[s.rng.IntN(len(modes))]
	s.log("store: %s for %v", mode, d)
	s.Store.SetMode(mode)
	s.repairAfter(d, func() { s.Store.SetMode(Healthy) })
}

// networkFault delays, cuts one way or resets the connections of a VM to its instance or
// to the store.
func (s *soak) networkFault(v *VM, d time.Duration) {
	p, where := v.instanceProxy, "instance"
	if s.rng.IntN(2) == 0 {
		p, where = v.storeProxy, "store"
	}
	kinds := []struct{ kind, attributes string }{{"latency", `{"latency":200,"jitter":150}`}, {"timeout", `{"timeout":0}`},
		{"reset_peer", `{"timeout":0}`}, {"bandwidth", `{"rate":2}`}}
	k := kinds[s.rng.IntN(len(kinds))]
	stream := []string{"upstream", "downstream"}[s.rng.IntN(2)]
	s.log("%s of VM %d: %s %s for %v", where, v.Index, k.kind, stream, d)
	v.RecordFault()
	s.addToxic(p, v, k.kind, stream, k.attributes, d)
}

func (s *soak) addToxic(p *toxiproxy.Proxy, v *VM, kind, stream, attributes string, d time.Duration) {
	remove, err := AddToxic(p, kind, stream, attributes)
	if err != nil {
		// The same fault is in force already.
		return
	}
	s.repairAfter(d, func() {
		remove()
		v.RecordFault()
	})
}

func (s *soak) reconfigure(*VM, time.Duration) {
	s.log("new configuration")
	n := len(s.routes)
	s.Configure([]route{{fmt.Sprintf("r%d", n), fmt.Sprintf("/added%d/", n), "safe", "beta", 2 * time.Second, 2}})
}

// checkRecovery checks draining and a new configuration without other faults.
func (s *soak) checkRecovery(ctx context.Context) {
	recovery, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	if err := s.awaitReady(recovery); err != nil {
		s.violations = append(s.violations, fmt.Sprintf("recover: %v", err))
		return
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
			s.violations = append(s.violations, fmt.Sprintf("config: VM %d answers %d on a new route", v.Index, status))
		}
	}
}
