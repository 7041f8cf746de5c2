package config

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cassiarack.example/lib/decision/delta"
)

// The target: 3,300 VMs with 53,000 instances of 3,300 services, 97,000 routes
// and 230,000 organisations.
const (
	targetVMs           = 3300
	targetInstances     = 53_000
	targetServices      = 3300
	targetRoutes        = 97_000
	targetOrganisations = 230_000
)

// documentSize is a little below the platform's limit of 1 MB.
const documentSize = 1_000_000

// target renders the documents of the target size.
func target() map[string]Document {
	docs := make(map[string]Document)
	cut := func(name, key string, n int, element func(int) string) {
		var b strings.Builder
		open := func() { fmt.Fprintf(&b, "{%q: [\n", key) }
		open()
		for i := range n {
			if b.Len() > documentSize-4096 {
				b.WriteString("]}\n")
				docs[fmt.Sprintf("register-%s-%02d", name, len(docs))] = NewDocument([]byte(b.String()))
				b.Reset()
				open()
			}
			b.WriteString(element(i) + ",\n")
		}
		b.WriteString("]}\n")
		docs[fmt.Sprintf("register-%s-%02d", name, len(docs))] = NewDocument([]byte(b.String()))
	}
	cut("services", "services", targetServices, func(i int) string {
		var routes []string
		// Each service has its derived prefix as well.
		for r := i; r < targetRoutes-targetServices; r += targetServices {
			routes = append(routes, fmt.Sprintf("\"/api/v1/area-%d/part-%d\"", i, r))
		}
		return fmt.Sprintf(`{"name": "service-%d", "slots": 3, "connections": 400, "routes": [%s]}`, i, strings.Join(routes, ", "))
	})
	cut("organisations", "organisations", targetOrganisations, func(i int) string {
		return fmt.Sprintf(`{"name": "organisation-%d"}`, i)
	})
	cut("vms", "vms", targetVMs, func(i int) string {
		var instances []string
		for n := i; n < targetInstances; n += targetVMs {
			// Services lie on several VMs and VMs hold several services.
			instances = append(instances, fmt.Sprintf(`{"name": "instance-%d", "service": "service-%d", "address": "10.%d.%d.%d:%d"}`,
				n, (n*7)%targetServices, i%12, i/250, i%250, 8000+n/targetVMs))
		}
		return fmt.Sprintf(`{"name": "vm-%d", "region": "region-%d", "dataCentre": "dc-%d", "node": "10.%d.%d.%d:7000", "instances": [%s]}`,
			i, i%6, i%12, i%12, i/250, i%250, strings.Join(instances, ", "))
	})
	docs["rules"] = NewDocument(targetRules(0))
	return docs
}

// targetRules renders rules of all services; change sets one floor.
func targetRules(change int) []byte {
	var b strings.Builder
	b.WriteString("{\"idempotent\": [\n")
	for i := range targetServices {
		fmt.Fprintf(&b, "{\"service\": \"service-%d\", \"methods\": [\"PUT\"]},\n", i)
	}
	b.WriteString("], \"floors\": [\n")
	for i := range targetServices {
		healthy := 8
		if i == targetServices/2 {
			healthy = 5 + change%3
		}
		fmt.Fprintf(&b, "{\"service\": \"service-%d\", \"healthy\": %d},\n", i, healthy)
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}

func cpu() time.Duration {
	var u syscall.Rusage
	// Getrusage of the own process does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTarget measures what a configuration of the target size and a change
// of one rule cost a node.
func BenchmarkTarget(b *testing.B) {
	docs := target()
	size := 0
	for _, d := range docs {
		size += len(d.Text)
	}
	b.Logf("%d documents, %d bytes", len(docs), size)
	measure := func(name string, f func()) {
		runtime.GC()
		start, used := time.Now(), cpu()
		f()
		b.Logf("%s: %v, %v of processor time with the garbage collector's", name, time.Since(start), cpu()-used)
	}
	var conf *Configuration
	var c Compiler
	measure("first decode and compile", func() {
		var err error
		if conf, err = c.Decode(Revision{Number: 1}, docs); err != nil {
			b.Fatal(err)
		}
	})
	b.Logf("%d VMs, %d instances, %d services, %d prefixes, %d organisations", len(conf.VMs), len(conf.Instances),
		len(conf.Services), len(conf.Prefixes), len(conf.Organisations))
	// Twice, as the first run only finishes a cycle that began before.
	debug.FreeOSMemory()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.Logf("heap in use %d MB", m.HeapInuse>>20)
	changed := targetRules(1)
	d, ok := delta.Make(docs["rules"].Text, changed)
	b.Logf("delta of one rule: %v, %d bytes of %d", ok, len(d.Inserted), len(changed))
	measure("delta and digest", func() {
		if _, err := d.Apply(docs["rules"].Text); err != nil {
			b.Fatal(err)
		}
		_ = sha256.Sum256(changed)
	})
	for _, change := range []struct {
		name string
		make func(n int)
	}{
		{"one rule", func(n int) { docs["rules"] = NewDocument(targetRules(n)) }},
		{"one VM", func(n int) { replace(docs, "register-vms", "region-1", fmt.Sprint("region-1x", n%2)) }},
		{"one organisation", func(n int) { replace(docs, "register-organisations", "{", fmt.Sprint("{ ", "  "[:n%2])) }},
	} {
		b.Run(change.name, func(b *testing.B) {
			var spent time.Duration
			n := 0
			for b.Loop() {
				n++
				change.make(n)
				used := cpu()
				var err error
				if conf, err = c.Decode(Revision{Number: uint64(n + 1)}, docs); err != nil {
					b.Fatal(err)
				}
				spent += cpu() - used
			}
			b.ReportMetric(float64(spent.Milliseconds())/float64(n), "cpu-ms/change")
		})
	}
	runtime.KeepAlive(conf)
	runtime.KeepAlive(&c)
}

// replace changes the first document whose name starts with prefix.
func replace(docs map[string]Document, prefix, old, text string) {
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		if strings.HasPrefix(name, prefix) {
			docs[name] = NewDocument([]byte(strings.Replace(string(docs[name].Text), old, text, 1)))
			return
		}
	}
}
