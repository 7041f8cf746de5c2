package proof

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/delta"
	"cassiarack.example/standin/fleet"
)

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	// Getrusage does not fail for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// targetDocuments returns the rules and the register of the target size.
func targetDocuments() map[string]config.Document {
	docs := map[string]config.Document{"rules": config.NewDocument(fleet.TargetRules(0))}
	for name, text := range fleet.TargetRegister([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7000")}) {
		docs[name] = config.NewDocument(text)
	}
	return docs
}

// replaceInDocument replaces the first occurrence of old in the first document
// whose name starts with prefix.
func replaceInDocument(docs map[string]config.Document, prefix, old, text string) {
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		if strings.HasPrefix(name, prefix) {
			docs[name] = config.NewDocument([]byte(strings.Replace(string(docs[name].Text), old, text, 1)))
			return
		}
	}
}

// BenchmarkTarget measures the processor time of a change to a configuration of the
// target size, including that of the garbage collector.
func BenchmarkTarget(b *testing.B) {
	docs := targetDocuments()
	size := 0
	for _, d := range docs {
		size += len(d.Text)
	}
	var c config.Compiler
	decode := func(number int) *config.Configuration {
		conf, err := c.Decode(config.Revision{Number: uint64(number)}, docs)
		if err != nil {
			b.Fatal(err)
		}
		return conf
	}
	began, used := time.Now(), processorTime()
	conf := decode(1)
	b.Logf("%d documents, %d bytes; first decode and compile %v, %v of processor time", len(docs), size, time.Since(began),
		processorTime()-used)
	b.Logf("%d VMs, %d instances, %d services, %d routes, %d organisations", len(conf.VMs), len(conf.Instances),
		len(conf.Services), len(conf.Prefixes), len(conf.Organisations))
	// The first call may only finish a garbage collection that began before, so
	// a second one is needed.
	debug.FreeOSMemory()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.Logf("heap in use %d MB", m.HeapInuse>>20)
	d, ok := delta.Make(docs["rules"].Text, fleet.TargetRules(1))
	b.Logf("delta of one rule: %v, %d bytes inserted of %d", ok, len(d.Inserted), len(docs["rules"].Text))
	for _, x := range []struct {
		name string
		make func(n int)
	}{
		{"rule", func(n int) { docs["rules"] = config.NewDocument(fleet.TargetRules(n)) }},
		{"vm", func(n int) { replaceInDocument(docs, "register-vms", "region-1", fmt.Sprint("region-1x", n%2)) }},
		{"organisation", func(n int) { replaceInDocument(docs, "register-organisations", "{", "{ ") }},
	} {
		b.Run(x.name, func(b *testing.B) {
			var spent time.Duration
			n := 0
			for b.Loop() {
				n++
				x.make(n)
				used := processorTime()
				conf = decode(n + 1)
				spent += processorTime() - used
			}
			b.ReportMetric(float64(spent.Milliseconds())/float64(n), "cpu-ms/change")
		})
	}
	runtime.KeepAlive(conf)
}

// TestTargetSize measures the distribution time, processor time, bytes and memory
// of real nodes with a configuration of the target size.
func TestTargetSize(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skipf("set %s=1 to measure", measureVariable)
	}
	is := is.New(t)
	f := startProgram(t, buildWithoutRace(t), spreadDeployment)
	var nodes []netip.AddrPort
	for _, v := range f.VMs {
		nodes = append(nodes, v.FleetAddress)
	}
	f.Documents = fleet.TargetRegister(nodes)
	report := func(what string, publish func() uint64) {
		before := make([]usage, len(f.VMs))
		for i, v := range f.VMs {
			before[i] = readUsage(t, v.Process.Process.Pid)
		}
		published := time.Now()
		number := publish()
		awaitRevision(t, f, number)
		times := inForceTimes(t, f, number)
		is.Equal(len(times), len(f.VMs))
		// Announcements and garbage collection continue after the last node put
		// the revision in force.
		time.Sleep(5 * time.Second)
		var sum, most, resident int64
		var processor time.Duration
		for i, v := range f.VMs {
			u := readUsage(t, v.Process.Process.Pid)
			sum += u.bytes - before[i].bytes
			most = max(most, u.bytes-before[i].bytes)
			processor += u.processor - before[i].processor
			resident = max(resident, u.resident)
		}
		n := len(f.VMs)
		t.Logf("%s: in force on the last of %d nodes after %v; %v of processor time and %d bytes a node (most %d), largest %d MB",
			what, n, slices.MaxFunc(times, time.Time.Compare).Sub(published), processor/time.Duration(n), sum/int64(n), most,
			resident>>20)
	}
	report("whole configuration", func() uint64 { return f.Publish(fleet.TargetRules(0)) })
	for i := range 10 {
		report(fmt.Sprintf("change %d of one rule", i+1), func() uint64 { return f.Publish(fleet.TargetRules(i + 1)) })
	}
	v := f.VMs[0]
	is.NoErr(v.KillNode())
	is.NoErr(f.StartNode(v))
	began := time.Now()
	awaitRevision(t, f, 1)
	t.Logf("a replaced node serves %v after its start, %d MB", time.Since(began), readUsage(t, v.Process.Process.Pid).resident>>20)
}
