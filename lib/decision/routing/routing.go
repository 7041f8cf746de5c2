package routing

import (
	"net"
	"strings"
	"time"
)

// Configuration is what operators publish. It is not changed after Compile.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route tells how requests to a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent tells whether a request may run more than once.
	Idempotent bool
	// Timeout is how long a caller is kept waiting at most.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use.
	TargetLatency time.Duration
	// Priority ranks routes; zero is the most urgent.
	Priority int
	// Attempts bounds the instances to which one request is sent.
	Attempts int
	// Destinations share the requests by weight. There is at least one.
	Destinations []Destination
}

// Destination is a service and its weight in a split.
type Destination struct {
	Service string
	Weight  float64
}

// Service is a service that routes may name.
type Service struct {
	Name string
	// HealthPath answers 200 while an instance considers itself healthy.
	HealthPath string
	// Connections bounds the connections to one instance from all callers.
	Connections int
}

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request's parts.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time for a header, IdleTimeout the time between
	// two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table finds routes. It may be used by several goroutines.
type Table struct {
	Configuration *Configuration

	hosts map[string]map[string]*Route
	// testPriorities holds the priority of the least urgent repeatable route by service.
	testPriorities map[string]int
}

// Compile returns the table of a configuration.
func Compile(c *Configuration) *Table {
	t := &Table{Configuration: c, hosts: make(map[string]map[string]*Route), testPriorities: make(map[string]int)}
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

// MayTest reports whether requests of the route may test doubtful instances of a
// service. Only those of its least urgent repeatable routes do: a test is likely
// to fail and uses up an attempt, which others need more.
func (t *Table) MayTest(r *Route, service string) bool {
	return r.retryable() && r.Priority == t.testPriorities[service]
}

// Find returns the route with the longest prefix of path among those of the
// host, or nil. The host may have a port. Its cost grows with the depth of the
// path, not with the number of routes.
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

// Splitter divides the requests of routes between their destinations. Smooth
// weighted round robin keeps each share exact within any short run of requests,
// where random choice would wander. It is used by one goroutine.
type Splitter struct {
	credits map[string][]float64
}

// Next returns the service of the next request of a route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	if s.credits == nil {
		s.credits = make(map[string][]float64)
	}
	credits := s.credits[r.Name]
	if len(credits) != len(r.Destinations) {
		credits = make([]float64, len(r.Destinations))
	}
	total, best := 0.0, 0
	for i, d := range r.Destinations {
		credits[i] += d.Weight
		total += d.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	s.credits[r.Name] = credits
	return r.Destinations[best].Service
}

// Reset forgets the shares given so far. A new configuration calls for it, as
// its weights need not be those of the one before.
func (s *Splitter) Reset() { s.credits = nil }
