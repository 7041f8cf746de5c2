// Package fleet runs a local fleet: the platform and the backend servers as
// stand-ins, and one real node process for each VM.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/platform"
)

// Fleet is a local fleet. Set the exported fields, then call Start.
type Fleet struct {
	Deployment Deployment
	// NodeProgram is the path of the node program.
	NodeProgram string
	// Folder receives settings and logs.
	Folder string
	// Rules is the first rules document.
	Rules []byte
	// Documents are further documents of each revision.
	Documents map[string][]byte

	// Advertise returns the address under which other nodes reach the node of a
	// VM, such as that of a proxy before it; nil means the node's own. It is
	// called when VM.Fleet is known.
	Advertise func(v *VM) (netip.AddrPort, error)
	// Settings are further settings of all nodes.
	Settings map[string]any

	// Keys are the fleet keys; nil means one key.
	Keys []string
	// Authority issues the nodes' certificates; nil means no TLS between nodes.
	Authority *Authority

	// Platform, VMs and Register are filled by Start.
	Platform *platform.Server
	VMs      []*VM
	Register []byte

	platformAddress netip.AddrPort
	allocator       *addressAllocator
	servers         []*http.Server
}

// VM is a VM of the fleet: a backend server and the node beside it.
type VM struct {
	Name           string
	DataCentre     string
	Service        Service
	Server         *backend.Server
	BackendAddress netip.AddrPort
	CallerAddress  netip.AddrPort
	FleetAddress   netip.AddrPort
	AdminAddress   netip.AddrPort
	// AdvertisedAddress is the address of the node in the register.
	AdvertisedAddress netip.AddrPort
	// Process is the node.
	Process *exec.Cmd
}

// Start starts all parts. The caller must call Stop, also after an error.
func (f *Fleet) Start(ctx context.Context) error {
	f.Platform = &platform.Server{}
	f.allocator = newAddressAllocator()
	var err error
	if f.platformAddress, err = f.startServer(f.Platform.Handler()); err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if f.Register, err = f.registerDocument(); err != nil {
		return err
	}
	f.Publish(f.Rules)
	for _, v := range f.VMs {
		if err := f.StartNode(v); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// Publish publishes the register with other rules and returns the revision.
func (f *Fleet) Publish(rules []byte) uint64 {
	if len(rules) == 0 {
		rules = []byte("{}")
	}
	documents := map[string][]byte{"register": f.Register, "rules": rules}
	maps.Copy(documents, f.Documents)
	return f.Platform.Publish(documents)
}

func (f *Fleet) startBackends() error {
	for _, s := range f.Deployment.Services {
		for i := range s.Instances {
			v := &VM{
				Name:       fmt.Sprintf("%s-%02d", s.Name, i+1),
				DataCentre: f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)],
				Service:    s,
			}
			v.Server = &backend.Server{Name: v.Name, ServiceTime: s.ServiceTime, Slots: s.Slots}
			var err error
			if v.BackendAddress, err = f.startServer(v.Server.Handler()); err != nil {
				return err
			}
			free, err := f.allocator.allocate()
			if err != nil {
				return err
			}
			v.CallerAddress, v.FleetAddress, v.AdminAddress = free[0], free[1], free[2]
			v.AdvertisedAddress = v.FleetAddress
			if f.Advertise != nil {
				if v.AdvertisedAddress, err = f.Advertise(v); err != nil {
					return fmt.Errorf("advertise node %s: %w", v.Name, err)
				}
			}
			f.VMs = append(f.VMs, v)
		}
	}
	return nil
}

// startServer starts an HTTP server on a free port of the loopback interface.
func (f *Fleet) startServer(h http.Handler) (netip.AddrPort, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() {
		if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "stand-in server:", err)
		}
	}()
	return lis.Addr().(*net.TCPAddr).AddrPort(), nil
}

// addressAllocator hands out loopback IPs. Each VM has an IP of its own, so that a port
// that was free when it was chosen is not taken by an outgoing connection, whose
// source is 127.0.0.1.
type addressAllocator struct {
	next netip.Addr
}

func newAddressAllocator() *addressAllocator {
	// The middle octets keep fleets that run at the same time apart.
	return &addressAllocator{next: netip.AddrFrom4([4]byte{127, byte(1 + rand.N(254)), byte(rand.N(256)), 1})}
}

// allocate returns three addresses of the next IP with ports from the kernel.
func (a *addressAllocator) allocate() (out [3]netip.AddrPort, err error) {
	ip := a.next
	a.next = ip.Next()
	for i := range out {
		lis, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return out, fmt.Errorf("listen: %w", err)
		}
		defer lis.Close()
		out[i] = lis.Addr().(*net.TCPAddr).AddrPort()
	}
	return out, nil
}

// peersPerNode is the number of other nodes in the settings of a node.
const peersPerNode = 4

// peers returns the addresses of the next VMs after v.
func (f *Fleet) peers(v *VM) []netip.AddrPort {
	var out []netip.AddrPort
	at := slices.Index(f.VMs, v)
	for i := 1; i < len(f.VMs) && len(out) < peersPerNode; i++ {
		out = append(out, f.VMs[(at+i)%len(f.VMs)].AdvertisedAddress)
	}
	return out
}

// coresPerVM is the number of cores that a node uses.
const coresPerVM = 2

// WriteSettings writes the settings of a VM's node and returns the path. A node
// that runs takes new fleet keys on SIGHUP.
func (f *Fleet) WriteSettings(v *VM) (string, error) {
	keys := f.Keys
	if keys == nil {
		keys = []string{"local fleet"}
	}
	values := map[string]any{
		"name": v.Name, "region": f.Deployment.Region, "dataCentre": v.DataCentre,
		"callers": v.CallerAddress, "fleet": v.FleetAddress, "admin": v.AdminAddress, "platform": f.platformAddress, "profiling": true,
		"peers": f.peers(v), "fleetKeys": keys,
	}
	if f.Authority != nil {
		for _, what := range []string{"certificate", "key", "authority"} {
			values[what] = f.pemPath(v, what)
		}
	}
	maps.Copy(values, f.Settings)
	settings, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return "", fmt.Errorf("render settings: %w", err)
	}
	path := filepath.Join(f.Folder, v.Name+".settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	return path, nil
}

// StartNode starts the node of a VM.
func (f *Fleet) StartNode(v *VM) error {
	path, err := f.WriteSettings(v)
	if err != nil {
		return err
	}
	if f.Authority != nil {
		if err := f.WriteCredentials(v, f.Authority, f.Authority); err != nil {
			return err
		}
	}
	logs, err := os.OpenFile(filepath.Join(f.Folder, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer logs.Close()
	v.Process = exec.Command(f.NodeProgram, "--settings", path)
	v.Process.Stdout, v.Process.Stderr = logs, logs
	// The VMs of a real fleet are small. With all cores, the idle threads of
	// each node look for work and take time from the others.
	v.Process.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(coresPerVM))
	// A node must not outlive a rig that was killed.
	v.Process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.Process.Start(); err != nil {
		return fmt.Errorf("start node %s: %w", v.Name, err)
	}
	return nil
}

// readyPollInterval is how often WaitReady asks a node.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every node with a process serves.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, v := range f.VMs {
		if v.Process == nil {
			continue
		}
		for !isReady(ctx, v) {
			if ctx.Err() != nil {
				return fmt.Errorf("node %s is not ready: %w", v.Name, ctx.Err())
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func isReady(ctx context.Context, v *VM) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.AdminAddress.String()+"/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// StopNode stops the node of a VM gracefully and waits for its end.
func (v *VM) StopNode() error {
	if v.Process == nil {
		return nil
	}
	p := v.Process
	v.Process = nil
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop node %s: %w", v.Name, err)
	}
	if err := p.Wait(); err != nil {
		return fmt.Errorf("node %s: %w", v.Name, err)
	}
	return nil
}

// KillNode ends the node of a VM at once.
func (v *VM) KillNode() error {
	p := v.Process
	v.Process = nil
	if err := p.Process.Kill(); err != nil {
		return fmt.Errorf("kill node %s: %w", v.Name, err)
	}
	// Wait reports the signal, which is expected.
	_ = p.Wait()
	return nil
}

// Stop stops all nodes gracefully, then the stand-ins.
func (f *Fleet) Stop() error {
	errs := make([]error, len(f.VMs))
	done := make(chan struct{})
	for i, v := range f.VMs {
		go func() {
			errs[i] = v.StopNode()
			done <- struct{}{}
		}()
	}
	for range f.VMs {
		<-done
	}
	for _, s := range f.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
