package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	graceTime = 6 * time.Second
	host      = "case.example"
)

// record is the protocol of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: f, began: time.Now()}, nil
}

// line writes one line with the time since the start of the run.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// store is a stand-in for the platform's store. Only ranges are read from it.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	revision uint64
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev"`
	Lease     uint64 `json:"lease"`
}

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, CreateRev: created}
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/kv-range" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list, revision := []item{}, s.revision
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	json.NewEncoder(w).Encode(map[string]any{"items": list, "truncated": false, "store_revision": revision})
}

// vm is one machine: an instance and its sidecar at one loopback address.
type vm struct {
	fleet    *fleet
	index    int
	ip       string
	zone     string
	instance *instance
	process  *exec.Cmd
	exited   chan struct{}
	state    atomic.Value
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *record
	folder string
	// program is the command of the deploy file.
	program string
	network int
	ports   [6]int
	store   *store
	server  *http.Server
	vms     []*vm
	memory  int
	// extra holds further settings, as in the template.
	extra string
	done  chan struct{}
}

const (
	portInstance = iota
	portCallers
	portReady
	portFleet
	portMetrics
	portStore
)

func newFleet(r *record, folder, program string) *fleet {
	return &fleet{record: r, folder: folder, program: program, memory: 284, store: &store{items: make(map[string]item), revision: 10},
		network: 20 + rand.IntN(200), done: make(chan struct{})}
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%d.7.%d", f.network, n) }

func (f *fleet) address(n, port int) string { return fmt.Sprintf("%s:%d", f.ip(n), f.ports[port]) }

// findPorts chooses ports that are free on the first n addresses.
func (f *fleet) findPorts(n int) error {
search:
	for range 50 {
		base := 21000 + rand.IntN(9000)
		for p := range f.ports {
			f.ports[p] = base + p
			for k := 1; k <= n; k++ {
				l, err := net.Listen("tcp", f.address(k, p))
				if err != nil {
					continue search
				}
				l.Close()
			}
		}
		return nil
	}
	return errors.New("no free ports")
}

// start starts the store, one VM for each service in services, and their sidecars.
func (f *fleet) start(services []string, config string, make func(v *vm) *instance) error {
	if err := f.findPorts(len(services) + 1); err != nil {
		return err
	}
	l, err := net.Listen("tcp", f.address(len(services)+1, portStore))
	if err != nil {
		return err
	}
	f.server = &http.Server{Handler: f.store}
	go f.server.Serve(l)
	f.store.put("op/config", []byte(config))
	for n, service := range services {
		v := &vm{fleet: f, index: n + 1, ip: f.ip(n + 1), zone: fmt.Sprintf("zone-%c", 'a'+n%3)}
		v.state.Store("ready")
		v.instance = make(v)
		v.instance.vm, v.instance.service = v, service
		if v.instance.id == "" {
			v.instance.id = fmt.Sprintf("i-%08x", rand.Uint32())
		}
		v.instance.born = time.Now().UnixMilli()
		if err := v.instance.listen(); err != nil {
			return err
		}
		f.vms = append(f.vms, v)
		go v.beat()
	}
	time.Sleep(50 * time.Millisecond)
	for _, v := range f.vms {
		if err := v.launch(); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if !v.awaitReady(10 * time.Second) {
			return fmt.Errorf("the sidecar of VM %d is not ready", v.index)
		}
	}
	// All sidecars know all instances after further reads of the store.
	time.Sleep(4 * time.Second)
	return nil
}

// beat writes the entry of the instance at each heartbeat.
func (v *vm) beat() {
	for n := 1; ; n++ {
		if st := v.state.Load().(string); st != "" {
			v.fleet.store.put("servers/"+v.instance.id, fmt.Appendf(nil,
				`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_s":0,"sequence":%d,"born":%d}`,
				v.instance.service, v.fleet.address(v.index, portInstance), v.zone, v.instance.slots, st, n, v.instance.born))
		}
		select {
		case <-v.fleet.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// launch writes the settings, as the template of the deploy file gives them, and starts
// the sidecar.
func (v *vm) launch() error {
	f := v.fleet
	a := func(port int) string { return f.address(v.index, port) }
	text := fmt.Sprintf(`{
  "name": "sidecar-%s-%d",
  "dataCentre": %q,
  "service": %q,
  "instance": %q,
  "callers": %q,
  "ready": %q,
  "fleet": %q,
  "metrics": %q,
  "store": %q,
  "memoryMegabytes": %d,
  "stopTimeout": "6s",
  "repeatRatio": 0.2,
  "repeatSlack": 64,
  "repeatWindow": "10s",
%s}`, v.zone, v.index, v.zone, v.instance.service, a(portInstance), a(portCallers), a(portReady), a(portFleet), a(portMetrics),
		f.address(len(f.vms)+1, portStore), f.memory, f.extra)
	path := filepath.Join(f.folder, fmt.Sprintf("vm%d.jsonc", v.index))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, fmt.Sprintf("vm%d.log", v.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.process = exec.Command(f.program)
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CASSIARACK_CONFIG=" + path}
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return err
	}
	f.record.line("sidecar %d started", v.index)
	v.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		err := p.Wait()
		f.record.line("sidecar %d ended: %v", v.index, err)
		close(exited)
	}(v.process, v.exited)
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.fleet.record.line("sidecar %d gets %v", v.index, s)
	v.process.Process.Signal(s)
}

func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.fleet.address(v.index, portReady) + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *vm) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.ready() {
			return true
		}
	}
	return false
}

func (v *vm) callers() string { return v.fleet.address(v.index, portCallers) }

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	close(f.done)
	for _, v := range f.vms {
		if v.process != nil && v.process.Process != nil {
			v.process.Process.Signal(syscall.SIGCONT)
			v.process.Process.Kill()
			if v.exited != nil {
				<-v.exited
			}
		}
	}
	if f.server != nil {
		f.server.Close()
	}
}

// instance is a stand-in for an application instance.
type instance struct {
	vm      *vm
	id      string
	service string
	slots   int
	born    int64
	// respond answers a request that it has run, and reports whether the connection stays
	// open.
	respond func(i *instance, c net.Conn, r *http.Request, body []byte) bool
	// refuse returns the text with which the instance refuses to run a request, or nil if
	// it runs it.
	refuse func(i *instance, c net.Conn, r *http.Request) []byte

	mu   sync.Mutex
	runs map[string]int
}

func (i *instance) listen() error {
	if i.slots == 0 {
		i.slots = 3
	}
	i.runs = make(map[string]int)
	l, err := net.Listen("tcp", i.vm.fleet.address(i.vm.index, portInstance))
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(c)
		}
	}()
	return nil
}

func (i *instance) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Cassiarack-Attempt-Id")
		if t := r.Header.Get("X-Cassiarack-Target-Instance"); t != "" && t != i.id {
			io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, i.id)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			i.vm.fleet.record.line("instance %d: the body of %s is cut after %d bytes: %v", i.vm.index, id, len(body), err)
			return
		}
		if i.refuse != nil {
			if text := i.refuse(i, c, r); text != nil {
				i.vm.fleet.record.line("instance %d refuses %s", i.vm.index, id)
				if _, err := c.Write(text); err != nil {
					return
				}
				continue
			}
		}
		i.mu.Lock()
		i.runs[id]++
		i.mu.Unlock()
		i.vm.fleet.record.line("instance %d runs %s %s %s", i.vm.index, r.Method, r.RequestURI, id)
		if !i.respond(i, c, r, body) {
			return
		}
	}
}

// answer returns a complete, signed answer with a body of the given size.
func (i *instance) answer(r *http.Request, size int) []byte {
	id := r.Header.Get("X-Cassiarack-Attempt-Id")
	b := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Response-Signature: %s.%d\r\nX-Cassiarack-Server-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n",
		id, i.id, size, i.slots, size)
	return append(b, answerBody(id, size)...)
}

func answerBody(id string, size int) []byte {
	return []byte(strings.Repeat(id+";", size/(len(id)+1)+1)[:size])
}

// runsOf returns how often an attempt ran at all instances.
func (f *fleet) runsOf(id string) int {
	n := 0
	for _, v := range f.vms {
		v.instance.mu.Lock()
		n += v.instance.runs[id]
		v.instance.mu.Unlock()
	}
	return n
}

// request returns the text of a request.
func request(method, path, id string, deadline time.Duration, body []byte, headers string) []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Deadline-Ms: %d\r\n%s", method, path, host, id,
		deadline.Milliseconds(), headers)
	if len(body) > 0 || method == http.MethodPost {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(body))
	}
	return append(append(b, "\r\n"...), body...)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// vmRSS returns the resident memory of the sidecar in MB.
func (v *vm) vmRSS() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(text), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n / 1024
		}
	}
	return 0
}

type route struct {
	name, prefix, kind, service string
	timeout                     float64
}

// configuration returns the document of op/config. With keys, it has one tenant that holds
// them and has no limit.
func configuration(version int, routes []route, services []string, keys ...string) string {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, host, r.prefix, r.kind, r.timeout, r.timeout / 2, 1, r.service, 2, nil})
	}
	list := [][]any{}
	for _, s := range services {
		list = append(list, []any{s, "/healthz", 390})
	}
	document := map[string]any{"version": fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"columns": []string{"name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "attempts", "weighted_split"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections"}, "rows": list},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15}}
	if len(keys) > 0 {
		document["tenants"] = map[string]any{"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, "rows": [][]any{{"hule930", keys, 1, 0, 0}}}
	}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return string(text)
}
