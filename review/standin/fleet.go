package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a set of sidecars, the instances beside them and the store.
type fleet struct {
	// program is the path of the sidecar, folder that of settings and logs.
	program, folder string
	// net is the second byte of the loopback addresses of this run.
	net int
	// port is the first port of this run.
	port     int
	store    *store
	vms      []*vm
	record   *record
	services []string
	version  int
}

// vm is a machine with a sidecar and an instance.
type vm struct {
	n        int
	ip, zone string
	// born is when the instance started.
	born     time.Time
	instance *instance
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	// expected is set before a signal that ends the process.
	expected bool
}

// Ports of each machine, counted from fleet.port. The store has its own address.
const (
	portInstance = iota
	portCallers
	portReady
	portFleet
	portMetrics
	portStore
	portCount
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet returns a fleet on loopback addresses and ports that no other process
// uses.
func newFleet(program string, r *record) (*fleet, error) {
	f := &fleet{program: program, record: r, store: newStore(), version: 6}
	for range 100 {
		f.net, f.port = 20+rand.IntN(200), 10_000+rand.IntN(15_000)
		if !f.isFree() {
			continue
		}
		l, err := net.Listen("tcp", f.storeAddr())
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(l, f.store) }()
		f.folder, err = os.MkdirTemp("", "review")
		return f, err
	}
	return nil, fmt.Errorf("no free loopback addresses and ports")
}

// isFree reports whether all ports of the run are free, also from processes that
// listen on all addresses.
func (f *fleet) isFree() bool {
	for n := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", f.net, f.port+n))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (f *fleet) storeAddr() string { return fmt.Sprintf("127.%d.0.250:%d", f.net, f.port+portStore) }

// add adds a machine with an instance of a service and registers the instance.
func (f *fleet) add(service, zone string, i *instance) (*vm, error) {
	v := &vm{n: len(f.vms) + 1, zone: zone, born: time.Now().Add(-time.Minute)}
	v.ip = fmt.Sprintf("127.%d.0.%d", f.net, v.n)
	i.id, i.service, i.zone, i.address = fmt.Sprintf("i-%08x", 0x7f3a9100+v.n), service, zone, f.addr(v, portInstance)
	v.instance = i
	if err := v.instance.start(); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	f.register(v, "ready")
	return v, nil
}

// register writes the entry of a machine's instance.
func (f *fleet) register(v *vm, state string) {
	f.store.put("servers/"+v.instance.id, map[string]any{"service": v.instance.service, "address": v.instance.address,
		"zone": v.zone, "version": "v1", "slots": v.instance.slots, "state": state, "cold_left_s": 0, "sequence": 4,
		"born": v.born.UnixMilli()})
}

// route is a row of the table of routes.
type route struct {
	name, host, prefix, kind string
	timeout, target          float64
	priority                 int
	service                  string
	attempts                 int
}

// configure writes the next configuration.
func (f *fleet) configure(routes []route, services []string) {
	f.version++
	var rows, serviceRows [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, r.target, r.priority, r.service, r.attempts, nil})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/healthz", 390})
	}
	f.services = services
	f.store.put("op/config", map[string]any{"version": fmt.Sprintf("r%d", f.version),
		"routes": map[string]any{"columns": []string{"name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s",
			"priority", "service", "attempts", "weighted_split"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections"}, "rows": serviceRows},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
			"idle_timeout_s": 15}})
}

// launch starts the sidecar of a machine, as the deploy file says, with the
// settings that its template yields.
func (f *fleet) launch(v *vm) error {
	settings, err := json.Marshal(map[string]any{"name": fmt.Sprintf("sidecar-%s-%d", v.zone, v.n), "dataCentre": v.zone,
		"service": v.instance.service, "instance": v.instance.address, "callers": f.addr(v, portCallers),
		"ready": f.addr(v, portReady), "fleet": f.addr(v, portFleet), "metrics": f.addr(v, portMetrics),
		"store": f.storeAddr(), "memoryMegabytes": memoryMegabytes, "stopTimeout": "6s",
		"repeatRatio": 0.2, "repeatSlack": 64, "repeatWindow": "10s"})
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, fmt.Sprintf("vm%d.jsonc", v.n))
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, fmt.Sprintf("vm%d.log", v.n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := exec.Command(f.program)
	p.Env = append(os.Environ(), "CASSIARACK_CONFIG="+path)
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited, v.expected = p, exited, false
	v.mu.Unlock()
	go func() {
		err := p.Wait()
		v.mu.Lock()
		expected := v.expected
		v.mu.Unlock()
		if !expected {
			f.record.line("sidecar of machine %d ended by itself: %v", v.n, err)
		}
		close(exited)
	}()
	return nil
}

// memoryMegabytes is memory_mb of the small deployments.
const memoryMegabytes = 284

func (f *fleet) addr(v *vm, port int) string { return fmt.Sprintf("%s:%d", v.ip, f.port+port) }

// start starts all sidecars and waits until they are ready.
func (f *fleet) start() error {
	for _, v := range f.vms {
		if err := f.launch(v); err != nil {
			return err
		}
	}
	end := time.Now().Add(10 * time.Second)
	for _, v := range f.vms {
		for !f.ready(v) {
			if time.Now().After(end) {
				return fmt.Errorf("machine %d is not ready", v.n)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// A second for the first announcements.
	time.Sleep(time.Second)
	return nil
}

var checks = &http.Client{Timeout: time.Second}

func (f *fleet) ready(v *vm) bool {
	resp, err := checks.Get("http://" + f.addr(v, portReady) + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the sidecar of a machine.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.expected = true
	}
	_ = v.process.Process.Signal(s)
}

// memory returns a field of /proc/PID/status in MB, such as VmRSS.
func (v *vm) memory(field string) int {
	v.mu.Lock()
	pid := v.process.Process.Pid
	v.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// stop ends all sidecars and removes the folder.
func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.process != nil {
			v.signal(syscall.SIGCONT)
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
		v.instance.listener.Close()
	}
	if os.Getenv("KEEP_FILES") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}
