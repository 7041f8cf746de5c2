// Package fleet runs a fleet on the local machine: stand-ins for the platform
// and the backend servers, and one real node process for each VM.
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

// Fleet is a fleet on the local machine. Set the exported fields, then call
// Start.
type Fleet struct {
	Deployment Deployment
	// NodeProgram is the path of the node's executable.
	NodeProgram string
	// Folder receives the settings, logs and PEM files of the nodes.
	Folder string
	// Rules is the rules document that Start publishes; empty means no rules.
	Rules []byte
	// Documents are published with each revision, besides the register and the
	// rules.
	Documents map[string][]byte

	// Advertise returns the address under which other nodes reach the node of a
	// VM, such as that of a proxy in front of it; nil means the node's own
	// address. It is called after VM.FleetAddress is set.
	Advertise func(v *VM) (netip.AddrPort, error)
	// Settings are added to the settings of all nodes and replace values of the
	// same name.
	Settings map[string]any

	// Keys are the fleet keys; nil means one default key.
	Keys []string
	// Authority issues the nodes' certificates; nil means no TLS between nodes.
	Authority *Authority

	// Platform, VMs and Register are set by Start.
	Platform *platform.Server
	VMs      []*VM
	Register []byte

	platformAddress netip.AddrPort
	allocator       *addressAllocator
	servers         []*http.Server
}

// VM is a VM of the fleet: a backend server and the node process next to it.
type VM struct {
	Name           string
	DataCentre     string
	Service        Service
	Server         *backend.Server
	BackendAddress netip.AddrPort
	CallerAddress  netip.AddrPort
	FleetAddress   netip.AddrPort
	AdminAddress   netip.AddrPort
	// AdvertisedAddress is the node's address in the register.
	AdvertisedAddress netip.AddrPort
	// Process is the node's process; nil if it does not run.
	Process *exec.Cmd
}

// Start starts the stand-ins and the nodes, publishes the first revision and
// waits until all nodes are ready. The caller must call Stop, also after an error.
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

// Publish publishes the register with the given rules and returns the number of
// the new revision. Empty rules mean no rules.
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

// startServer starts an HTTP server on a free port of the loopback interface and
// returns its address.
func (f *Fleet) startServer(h http.Handler) (netip.AddrPort, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen on the loopback interface: %w", err)
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

// addressAllocator allocates loopback IPs, one for each VM. Outgoing connections
// have the source 127.0.0.1, so with another IP they cannot take a port between
// its choice and the start of the node.
type addressAllocator struct {
	next netip.Addr
}

func newAddressAllocator() *addressAllocator {
	// Random middle octets keep fleets that run at the same time from using the
	// same addresses.
	return &addressAllocator{next: netip.AddrFrom4([4]byte{127, byte(1 + rand.N(254)), byte(rand.N(256)), 1})}
}

// allocate returns three addresses of the next IP, with free ports chosen by the
// kernel.
func (a *addressAllocator) allocate() (out [3]netip.AddrPort, err error) {
	ip := a.next
	a.next = ip.Next()
	for i := range out {
		lis, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return out, fmt.Errorf("find a free port of %v: %w", ip, err)
		}
		defer lis.Close()
		out[i] = lis.Addr().(*net.TCPAddr).AddrPort()
	}
	return out, nil
}

// peersPerNode is the number of peers in the settings of a node.
const peersPerNode = 4

// peers returns the advertised addresses of up to peersPerNode VMs that follow v.
func (f *Fleet) peers(v *VM) []netip.AddrPort {
	var out []netip.AddrPort
	index := slices.Index(f.VMs, v)
	for i := 1; i < len(f.VMs) && len(out) < peersPerNode; i++ {
		out = append(out, f.VMs[(index+i)%len(f.VMs)].AdvertisedAddress)
	}
	return out
}

// coresPerVM is the GOMAXPROCS of a node.
const coresPerVM = 2

// WriteSettings writes the settings of a VM's node and returns the path. A
// running node loads new fleet keys on SIGHUP.
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

// StartNode writes the settings and credentials of a VM's node and starts it. It
// does not wait until the node is ready.
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
		return fmt.Errorf("open log of node %s: %w", v.Name, err)
	}
	defer logs.Close()
	v.Process = exec.Command(f.NodeProgram, "--settings", path)
	v.Process.Stdout, v.Process.Stderr = logs, logs
	// The VMs of a real fleet have few cores. With all cores of this machine, the
	// idle threads of each node would search for work and take processor time
	// from the other nodes.
	v.Process.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(coresPerVM))
	// The kernel kills the node when this process dies, so that no node outlives
	// a killed test or tool.
	v.Process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.Process.Start(); err != nil {
		return fmt.Errorf("start node %s: %w", v.Name, err)
	}
	return nil
}

// readyPollInterval is the time between two readiness checks of WaitReady.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every running node reports that it is ready, or until ctx
// is done.
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

// isReady reports whether the readiness check of a node succeeds.
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

// StopNode stops the node of a VM gracefully and waits until its process has
// ended. It does nothing if the node does not run.
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
		return fmt.Errorf("wait for the end of node %s: %w", v.Name, err)
	}
	return nil
}

// KillNode kills the process of a VM's node and waits for its end. The node must
// run.
func (v *VM) KillNode() error {
	p := v.Process
	v.Process = nil
	if err := p.Process.Kill(); err != nil {
		return fmt.Errorf("kill node %s: %w", v.Name, err)
	}
	// Wait returns an error for the signal, which is expected.
	_ = p.Wait()
	return nil
}

// Stop stops all nodes gracefully and at the same time, then the stand-ins.
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
