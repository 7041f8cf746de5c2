package routing

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiarack.example/lib/decision/organisation"
)

// Configuration is what operators publish. It must not be changed after
// Compile.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are the callers that share the services. Without any, requests need
	// no key. Once a register of them is built, the list is no longer needed.
	Organisations []organisation.Organisation
}

// Route says how requests to a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Public is set if requests need no key of an organisation.
	Public bool
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a caller waits for an answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use to the
	// caller.
	TargetLatency time.Duration
	// Priority ranks routes; zero is the most urgent.
	Priority int
	// Attempts is the largest number of instances to which one request is sent.
	Attempts int
	// Destinations share the requests by weight. There is at least one.
	Destinations []Destination
}

// Destination is a service and its weight among the destinations of a route.
type Destination struct {
	Service string
	Weight  float64
}

// Service is a service that routes may name.
type Service struct {
	Name string
	// HealthPath is the path that answers 200 while an instance considers
	// itself healthy.
	HealthPath string
	// Connections is the largest number of connections to one instance from all
	// callers.
	Connections int
}

// Limits bound the size and the time of what a client sends.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of the header and the body of a
	// request, in bytes.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits the time for reading a header, IdleTimeout the time
	// between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table finds routes. It is safe for concurrent use.
type Table struct {
	Configuration *Configuration
	// Register holds the organisations of the configuration. It is nil if there are
	// none. It is set before the first use of the table.
	Register *organisation.Register

	// hosts maps each host in lower case and each of its prefixes to a route.
	hosts map[string]map[string]*Route
	// testPriorities maps each service to the priority of its least urgent
	// retryable route.
	testPriorities map[string]int
	services       map[string]bool
}

// Compile returns the table of a configuration, which it keeps.
func Compile(c *Configuration) *Table {
	t := &Table{Configuration: c, hosts: make(map[string]map[string]*Route), testPriorities: make(map[string]int),
		services: make(map[string]bool)}
	for _, s := range c.Services {
		t.services[s.Name] = true
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.Prefix] = r
		for _, d := range r.Destinations {
			if r.retryable() {
				t.testPriorities[d.Service] = max(t.testPriorities[d.Service], r.Priority)
			}
		}
	}
	return t
}

// retryable reports whether a request may be sent to another instance after it
// failed at one.
func (r *Route) retryable() bool { return r.Idempotent && r.Attempts > 1 }

// MayTest reports whether requests of r may test instances of a service that
// may be failing. Only those of the least urgent retryable routes of the
// service may: a test is likely to fail and uses up an attempt, which more
// urgent requests need.
func (t *Table) MayTest(r *Route, service string) bool {
	return r.retryable() && r.Priority == t.testPriorities[service]
}

// HasService reports whether the configuration names the service.
func (t *Table) HasService(name string) bool { return t.services[name] }

// Find returns the route of the host with the longest prefix of path, or nil if
// there is none. The host may include a port. The cost grows with the depth of
// the path, not with the number of routes.
func (t *Table) Find(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	prefixes := t.hosts[strings.ToLower(strings.TrimSuffix(host, "."))]
	for end := strings.LastIndexByte(path, '/') + 1; end > 0; {
		if r, ok := prefixes[path[:end]]; ok {
			return r
		}
		end = strings.LastIndexByte(path[:end-1], '/') + 1
	}
	return nil
}

// Splitter divides the requests of routes between their destinations by smooth
// weighted round robin. Unlike a random choice, it keeps the shares close to
// the weights in any short run of requests. It is not safe for concurrent use.
type Splitter struct {
	// Seed determines the phase at which each route begins. Nodes need different
	// seeds: if all began with the same destination, it would get too large a share
	// while each node has handled only a few requests.
	Seed uint64

	// resets counts the calls of Reset.
	resets uint64
	// credits holds the current weights of the destinations of each route, by its
	// name.
	credits map[string][]float64
}

// Next returns the service for the next request of a route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	if s.credits == nil {
		s.credits = make(map[string][]float64)
	}
	credits := s.credits[r.Name]
	if len(credits) != len(r.Destinations) {
		credits = s.initialCredits(r)
		s.credits[r.Name] = credits
	}
	return r.Destinations[advance(r, credits)].Service
}

// initialCredits returns the credits of a route after a random number of requests.
func (s *Splitter) initialCredits(r *Route) []float64 {
	rng := rand.New(rand.NewPCG(s.Seed+s.resets, xxhash.Sum64String(r.Name)))
	credits := make([]float64, len(r.Destinations))
	for range rng.IntN(phases) {
		advance(r, credits)
	}
	return credits
}

// advance chooses the destination of the next request and returns its index.
func advance(r *Route, credits []float64) int {
	total, best := 0.0, 0
	for i, d := range r.Destinations {
		credits[i] += d.Weight
		total += d.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return best
}

// phases is the number of phases at which a route may begin. The weights of
// operators are usually whole percentages, whose pattern repeats after at most 100
// requests.
const phases = 1000

// Reset clears the state of all routes. Call it after a change of the
// configuration, as the weights may differ.
func (s *Splitter) Reset() {
	s.credits = nil
	s.resets++
}
