package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Ports of each VM. They are the same for all VMs, as each has its own address.
const (
	portInstance = 8000 + iota
	portProxy
	portCallers
	portReady
	portFleet
	portMetrics
)

const (
	// maxDrainDelay is the time after which a draining instance must get no more
	// requests.
	maxDrainDelay = 2500 * time.Millisecond
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
	// readyPoll is the interval between two readiness checks of a sidecar.
	readyPoll = 20 * time.Millisecond
	// instanceWork is the mean run time of a request.
	instanceWork = 20 * time.Millisecond
	// maxBodyBytes is the configured bound of a request's body.
	maxBodyBytes = 1 << 20
)

// VM is a simulated VM: a loopback address with an instance and a sidecar.
type VM struct {
	Index      int
	Address    netip.Addr
	DataCentre string
	Instance   *Instance

	instanceServer *http.Server
	instanceProxy  *toxiproxy.Proxy
	storeProxy     *toxiproxy.Proxy
	process        *exec.Cmd
	// exited is closed when the process has exited.
	exited   chan struct{}
	launched time.Time
	// endExpected is set while the process may end: after a signal that ends it.
	endExpected atomic.Bool
	// lastFault is when the VM last had a fault, in Unix nanoseconds.
	lastFault atomic.Int64
}

// Mesh is a fleet of sidecars with stand-ins for their instances and the store.
type Mesh struct {
	// Program is the path of the sidecar's binary.
	Program string
	// Folder is the folder for the sidecars' settings and logs.
	Folder string
	// Services has the number of instances of each service.
	Services map[string]int
	// Network is the second byte of the loopback addresses. Fleets that run at the
	// same time need different ones.
	Network int
	// MemoryMegabytes is the memory limit in the sidecars' settings; zero means
	// none.
	MemoryMegabytes int
	// StopTimeout is the time from SIGTERM to SIGKILL in the sidecars' settings;
	// zero means graceTime.
	StopTimeout time.Duration
	// DirectStore lets the sidecars reach the store without its proxies, which are
	// too slow for large pages when the race detector is on.
	DirectStore bool
	// MaxBodyBytes is the configured bound of a request's body; zero means
	// maxBodyBytes.
	MaxBodyBytes int
	// Work is the mean run time of a request; zero means instanceWork.
	Work time.Duration
	// Organisations are published with the configuration; PublicRoutes are the names of
	// the routes that need no key. Change them with Publish after Start.
	Organisations []Organisation
	PublicRoutes  []string
	// KeyRevocation is the setting of that name of the sidecars; zero means no bound.
	KeyRevocation time.Duration
	// LimitOver and LimitSlack are the settings of these names of the sidecars.
	LimitOver, LimitSlack float64
	// ServiceRoom makes the sidecars refuse requests for which their service has no
	// room.
	ServiceRoom bool
	// TraceEndpoint is the URL to which the sidecars send spans; empty means none.
	TraceEndpoint string

	Store *Store
	Runs  *Runs
	VMs   []*VM

	// accounts records organisations and their requests in a soak; nil without them.
	accounts        *accounts
	storeServer     *http.Server
	toxiproxyServer *toxiproxy.ApiServer
	version         int
	routes          []route

	endsMu sync.Mutex
	ends   []string
}

// Start starts the stand-ins and all sidecars, and waits until the sidecars are
// ready or ctx is done. The caller calls Stop also after an error.
func (m *Mesh) Start(ctx context.Context) error {
	m.Store, m.Runs = NewStore(), NewRuns()
	m.toxiproxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	listener, err := net.Listen("tcp", m.address(250, portCallers).String())
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	m.storeServer = &http.Server{Handler: m.Store}
	serve(m.storeServer, listener)
	m.routes = []route{{"read", "/read/", "safe", "alpha", 2 * time.Second, 2}, {"accept", "/accept/", "unsafe", "alpha", 2 * time.Second, 2},
		{"other", "/other/", "safe", "beta", 2 * time.Second, 2}}
	m.Configure(nil)
	for service, n := range m.Services {
		for range n {
			if err := m.addVM(service); err != nil {
				return err
			}
		}
	}
	for _, v := range m.VMs {
		if err := m.Launch(v); err != nil {
			return err
		}
	}
	return m.awaitReady(ctx)
}

// address returns the address of a port of the VM with the given index. Index 250
// is the store.
func (m *Mesh) address(vm, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(m.Network), 0, byte(vm)}), uint16(port))
}

// Configure adds routes and publishes the next version of the configuration. The
// version number rises by 1 to 3.
func (m *Mesh) Configure(add []route) {
	m.version += 1 + rand.IntN(3)
	m.routes = append(m.routes, add...)
	began := time.Now()
	m.Store.Put("op/config", m.configDocument([]string{"alpha", "beta"}))
	if m.accounts != nil {
		m.accounts.record(m.Organisations, began, time.Now())
	}
}

// addVM adds a VM of a service and starts its instance and its proxies, but not its
// sidecar.
func (m *Mesh) addVM(service string) error {
	n := len(m.VMs) + 1
	v := &VM{Index: n, Address: m.address(n, 0).Addr(), DataCentre: fmt.Sprintf("dc%d", n%3),
		Instance: &Instance{ID: fmt.Sprintf("i-%d", n), Service: service, Work: cmp.Or(m.Work, instanceWork), Runs: m.Runs, mode: Healthy}}
	listener, err := net.Listen("tcp", m.address(n, portInstance).String())
	if err != nil {
		return fmt.Errorf("start instance: %w", err)
	}
	v.instanceServer = &http.Server{Handler: v.Instance}
	serve(v.instanceServer, listener)
	if v.instanceProxy, err = m.startProxy(fmt.Sprintf("instance%d", n), m.address(n, portProxy), listener.Addr().String()); err != nil {
		return err
	}
	if v.storeProxy, err = m.startProxy(fmt.Sprintf("store%d", n), netip.AddrPortFrom(m.address(n, 0).Addr(), 8020),
		m.address(250, portCallers).String()); err != nil {
		return err
	}
	m.VMs = append(m.VMs, v)
	m.Register(v, "ready")
	return nil
}

// serve runs a server in a new goroutine until it is closed. It panics if the server
// fails, as the run is then invalid.
func serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
}

// closeServer closes a server and its connections.
func closeServer(s *http.Server) {
	if err := s.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		panic(err)
	}
}

// startProxy starts a proxy from listen to upstream.
func (m *Mesh) startProxy(name string, listen netip.AddrPort, upstream string) (*toxiproxy.Proxy, error) {
	p := toxiproxy.NewProxy(m.toxiproxyServer, name, listen.String(), upstream)
	if err := p.Start(); err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	return p, nil
}

// Register writes the entry of a VM's instance to the store.
func (m *Mesh) Register(v *VM, state string) {
	m.Store.Put("servers/"+v.Instance.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":3,"state":%q,"cold_left_s":0,"sequence":1,"born":%d}`,
		v.Instance.Service, m.address(v.Index, portProxy), v.DataCentre, state, 1767225600000))
}

// Launch writes the settings of a VM's sidecar and starts it. The sidecar appends
// to the log of earlier processes on the VM.
func (m *Mesh) Launch(v *VM) error {
	store := v.storeProxy.Listen
	if m.DirectStore {
		store = m.address(250, portCallers).String()
	}
	settings := fmt.Sprintf(`{"name":"vm%d","dataCentre":%q,"service":%q,"instance":%q,"callers":%q,"ready":%q,"fleet":%q,
"metrics":%q,"store":%q,"stopTimeout":"%v","repeatRatio":0.2,"repeatSlack":64,"repeatWindow":"10s","memoryMegabytes":%d,"serviceRoom":%t,"traceEndpoint":%q,"keyRevocation":%q,
"limitOver":%g,"limitSlack":%g}`, v.Index, v.DataCentre,
		v.Instance.Service, m.address(v.Index, portProxy), m.address(v.Index, portCallers), m.address(v.Index, portReady),
		m.address(v.Index, portFleet), m.address(v.Index, portMetrics), store, cmp.Or(m.StopTimeout, graceTime), m.MemoryMegabytes, m.ServiceRoom, m.TraceEndpoint, m.KeyRevocation,
		m.LimitOver, m.LimitSlack)
	path := filepath.Join(m.Folder, fmt.Sprintf("vm%d.jsonc", v.Index))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(m.Folder, fmt.Sprintf("vm%d.log", v.Index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	v.process = exec.Command(m.Program, "--config", path)
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return fmt.Errorf("start sidecar: %w", err)
	}
	v.exited, v.launched = make(chan struct{}), time.Now()
	v.endExpected.Store(false)
	go func(p *exec.Cmd, exited chan struct{}) {
		if err := p.Wait(); !v.endExpected.Load() {
			m.recordOwnEnd(v, err)
		}
		close(exited)
	}(v.process, v.exited)
	return nil
}

// recordOwnEnd records that the sidecar of a VM ended without a signal that ends it.
func (m *Mesh) recordOwnEnd(v *VM, err error) {
	m.endsMu.Lock()
	defer m.endsMu.Unlock()
	m.ends = append(m.ends, fmt.Sprintf("own end: the sidecar of VM %d ended by itself: %v", v.Index, err))
}

// OwnEnds returns a line for each sidecar that ended by itself.
func (m *Mesh) OwnEnds() []string {
	m.endsMu.Lock()
	defer m.endsMu.Unlock()
	return slices.Clone(m.ends)
}

// RecordFault records that the VM has a fault now.
func (v *VM) RecordFault() { v.lastFault.Store(time.Now().UnixNano()) }

// Signal sends a signal to the sidecar of the VM and records a fault. It returns no
// error if the sidecar has exited.
func (v *VM) Signal(s syscall.Signal) error {
	v.RecordFault()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.endExpected.Store(true)
	}
	err := v.process.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// awaitReady waits until all sidecars are ready, for which each must have read the
// configuration and the instances, or until ctx is done.
func (m *Mesh) awaitReady(ctx context.Context) error {
	for _, v := range m.VMs {
		for !m.isReady(ctx, v) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for VM %d: %w", v.Index, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// isReady reports whether the sidecar of a VM answers the readiness check with
// status 200.
func (m *Mesh) isReady(ctx context.Context, v *VM) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%v/-/ready", m.address(v.Index, portReady)), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AddToxic adds a fault of a toxiproxy kind to one stream of a proxy, upstream or
// downstream, with its attributes as JSON. It returns a function that removes the
// fault.
func AddToxic(p *toxiproxy.Proxy, kind, stream, attributes string) (func(), error) {
	name := kind + stream
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, name, kind, stream, attributes)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		return nil, fmt.Errorf("add toxic: %w", err)
	}
	return func() {
		// An error means that the toxic was already removed.
		_ = p.Toxics.RemoveToxic(context.Background(), name)
	}, nil
}

// Stop ends all processes and stand-ins that the mesh started.
func (m *Mesh) Stop() {
	for _, v := range m.VMs {
		if v.process != nil {
			// An error means that the process has ended.
			_ = v.Signal(syscall.SIGKILL)
			<-v.exited
		}
		closeServer(v.instanceServer)
		v.instanceProxy.Stop()
		v.storeProxy.Stop()
	}
	if m.storeServer != nil {
		closeServer(m.storeServer)
	}
}
