package route

import (
	"fmt"
	"testing"

	"cassiarack.example/lib/decision/config"
)

// BenchmarkFind measures the lookup of a route and of an organisation's weight
// at the target size of 97,000 routes and 230,000 organisations.
func BenchmarkFind(b *testing.B) {
	const routes, organisations, services = 97_000, 230_000, 3300
	c := &config.Configuration{Prefixes: make(map[string]*config.Service), Organisations: make(map[string]int)}
	for i := range routes {
		c.Prefixes[fmt.Sprintf("/service-%d/part-%d/", i%services, i)] = &config.Service{Name: fmt.Sprint(i % services)}
	}
	for i := range organisations {
		c.Organisations[fmt.Sprintf("organisation-%d", i)] = 1
	}
	paths, names := make([]string, routes), make([]string, organisations)
	for i := range paths {
		paths[i] = fmt.Sprintf("/service-%d/part-%d/item/%d", i%services, i, i)
	}
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%d", i)
	}
	b.Run("route", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if _, err := Find(c, "GET", paths[i*7919%routes]); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("organisation", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if c.Organisations[names[i*7919%organisations]] != 1 {
				b.Fatal("not found")
			}
		}
	})
}
