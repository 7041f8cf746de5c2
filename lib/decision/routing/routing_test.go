package routing

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

// TestFind guards against a match of a shorter prefix, of another host, or of a
// prefix that ends inside a path segment.
func TestFind(t *testing.T) {
	one := []Destination{{Service: "s", Weight: 1}}
	table := Compile(&Configuration{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/", Destinations: one},
		{Name: "short", Host: "a.example", Prefix: "/x/", Destinations: one},
		{Name: "long", Host: "A.example", Prefix: "/x/y/", Destinations: one},
		{Name: "other", Host: "b.example", Prefix: "/x/", Destinations: one},
	}})
	var b strings.Builder
	for _, c := range [][2]string{{"a.example", "/"}, {"a.example", "/x"}, {"a.example", "/x/"}, {"a.example", "/x/yz/1"},
		{"a.example", "/x/y/1/2"}, {"A.EXAMPLE:8080", "/x/y/"}, {"a.example.", "/x//y/"}, {"b.example", "/x/y/"},
		{"b.example", "/"}, {"c.example", "/x/"}, {"a.example", ""}, {"a.example", "x"}, {"", "/x/"}} {
		name := "none"
		if r := table.Find(c[0], c[1]); r != nil {
			name = r.Name
		}
		fmt.Fprintf(&b, "%q %q: %s\n", c[0], c[1], name)
	}
	golden.Check(t, "find", b.String())
}

// TestSplitter guards against shares that differ from the weights, in 100
// requests and in short runs.
func TestSplitter(t *testing.T) {
	r := &Route{Name: "r", Destinations: []Destination{{"a", 70}, {"b", 20}, {"c", 10}}}
	var s Splitter
	var b strings.Builder
	counts := map[string]int{}
	for n := range 100 {
		service := s.Next(r)
		counts[service]++
		if n < 20 {
			b.WriteString(service)
		}
	}
	fmt.Fprintf(&b, "\n%v\n", counts)
	s.Reset()
	fmt.Fprintln(&b, s.Next(&Route{Name: "r", Destinations: []Destination{{"d", 1}}}))
	golden.Check(t, "splitter", b.String())
}

// TestMayTest guards against tests of instances that may be failing by requests
// that must not be repeated, that have a single attempt, or that are more
// urgent than others of the service.
func TestMayTest(t *testing.T) {
	route := func(name string, idempotent bool, priority, attempts int, services ...string) Route {
		r := Route{Name: name, Host: name, Prefix: "/", Idempotent: idempotent, Priority: priority, Attempts: attempts}
		for _, s := range services {
			r.Destinations = append(r.Destinations, Destination{Service: s, Weight: 1})
		}
		return r
	}
	table := Compile(&Configuration{Routes: []Route{
		route("unsafe", false, 3, 2, "a"), route("nested", true, 1, 2, "a", "b"), route("read", true, 2, 2, "a"),
		route("once", true, 5, 1, "a"),
	}})
	var b strings.Builder
	for i := range table.Configuration.Routes {
		r := &table.Configuration.Routes[i]
		fmt.Fprintf(&b, "%s: a %t, b %t\n", r.Name, table.MayTest(r, "a"), table.MayTest(r, "b"))
	}
	golden.Check(t, "tests", b.String())
}

// TestSplitterOverNodes guards against a destination that gets too large a share
// because all nodes begin with it: 89 nodes that handle two requests each gave 0.70
// of the requests to one with a weight of 0.50, also after a change of the
// configuration.
func TestSplitterOverNodes(t *testing.T) {
	const (
		nodes     = 89
		requests  = 2
		tolerance = 0.1
	)
	var b strings.Builder
	for _, weights := range [][]float64{{50, 50}, {90, 10}, {70, 20, 10}, {0.5, 0.3, 0.2}} {
		r := &Route{Name: "r"}
		total := 0.0
		for i, w := range weights {
			r.Destinations = append(r.Destinations, Destination{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		splitters := make([]Splitter, nodes)
		for n := range splitters {
			splitters[n].Seed = uint64(n)
		}
		for _, step := range []string{"start", "change"} {
			counts := make(map[string]float64)
			for n := range splitters {
				for range requests {
					counts[splitters[n].Next(r)]++
				}
				splitters[n].Reset()
			}
			for _, d := range r.Destinations {
				share, want := counts[d.Service]/(nodes*requests), d.Weight/total
				if math.Abs(share-want) > tolerance {
					t.Errorf("weights %v, %s: %s gets %.2f, want %.2f", weights, step, d.Service, share, want)
				}
				fmt.Fprintf(&b, "weights %v, %s: %s gets %.2f of %.2f\n", weights, step, d.Service, share, want)
			}
		}
	}
	golden.Check(t, "splitter_nodes", b.String())
}
