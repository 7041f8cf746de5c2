package proof

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/standin/fleet"
)

// measureVariable is the environment variable that enables the long measurements,
// which are not part of CI.
const measureVariable = "CASSIARACK_MEASURE"

const (
	// restTime is how long an idle fleet is observed.
	restTime = 20 * time.Second
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// measuredChanges is the number of revisions that are published and timed.
	measuredChanges = 10
)

// usage is the resource usage of a process since its start: processor time, bytes
// read and written, and the present resident memory in bytes.
type usage struct {
	processor time.Duration
	bytes     int64
	resident  int64
}

// readUsage reads the usage of a process from /proc. The bytes are those of all
// read and write calls. They contain neither network headers nor datagrams, which
// the kernel does not count there.
func readUsage(t *testing.T, pid int) usage {
	t.Helper()
	is := is.New(t)
	read := func(name string) string {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
		is.NoErr(err)
		return string(text)
	}
	var u usage
	_, stat, _ := strings.Cut(read("stat"), ") ")
	fields := strings.Fields(stat)
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		is.NoErr(err)
		u.processor += time.Duration(n) * clockTick
	}
	for line := range strings.Lines(read("io")) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && (name == "rchar" || name == "wchar") {
			u.bytes += n
		}
	}
	pages, err := strconv.ParseInt(strings.Fields(read("statm"))[1], 10, 64)
	is.NoErr(err)
	u.resident = pages * int64(os.Getpagesize())
	return u
}

// inForceTimes returns the times at which the nodes put a revision in force,
// according to their logs.
func inForceTimes(t *testing.T, f *fleet.Fleet, number uint64) []time.Time {
	t.Helper()
	is := is.New(t)
	want := fmt.Sprintf("Configuration in force. revision=%d", number)
	var out []time.Time
	for _, v := range f.VMs {
		text, err := os.ReadFile(filepath.Join(f.Folder, v.Name+".log"))
		is.NoErr(err)
		lines := bufio.NewScanner(bytes.NewReader(text))
		for lines.Scan() {
			if strings.HasSuffix(lines.Text(), want) {
				at, err := time.Parse(time.RFC3339Nano, strings.Fields(lines.Text())[0])
				is.NoErr(err)
				out = append(out, at)
			}
		}
	}
	return out
}

// buildWithoutRace builds the node without the race detector and returns the path
// of its executable.
func buildWithoutRace(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cassiarack-node")
	build := exec.Command("go", "build", "-o", program, "../../node")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

// TestSpread measures fleets of 25 to 200 nodes: the time from the publication of a
// revision until it is in force, the reads of the platform and the idle usage.
func TestSpread(t *testing.T) {
	if os.Getenv(measureVariable) == "" {
		t.Skipf("set %s=1 to measure", measureVariable)
	}
	program := buildWithoutRace(t)
	for _, nodes := range []int{25, 50, 100, 200} {
		t.Run(strconv.Itoa(nodes), func(t *testing.T) { measureSpread(t, program, nodes) })
	}
}

func measureSpread(t *testing.T, program string, nodes int) {
	is := is.New(t)
	d := spreadDeployment
	d.Services = slices.Clone(d.Services)
	d.Services[0].Instances = nodes
	f := startProgram(t, program, d)
	var all, last []time.Duration
	reads := f.Platform.Reads()
	for n := range measuredChanges {
		published := time.Now()
		number := f.Publish(numberedRules(n))
		awaitRevision(t, f, number)
		times := inForceTimes(t, f, number)
		is.Equal(len(times), nodes)
		latest := slices.MaxFunc(times, time.Time.Compare)
		last = append(last, latest.Sub(published))
		for _, at := range times {
			all = append(all, at.Sub(published))
		}
		time.Sleep(2 * time.Second)
	}
	slices.Sort(all)
	slices.Sort(last)
	t.Logf("%d nodes, %d changes: in force p50 %v, p99 %v; last node p50 %v, maximum %v; %.1f reads a change",
		nodes, measuredChanges, all[len(all)/2], all[len(all)*99/100], last[len(last)/2], last[len(last)-1],
		float64(f.Platform.Reads()-reads)/measuredChanges)
	reads = f.Platform.Reads()
	before := make([]usage, nodes)
	for i, v := range f.VMs {
		before[i] = readUsage(t, v.Process.Process.Pid)
	}
	began := time.Now()
	time.Sleep(restTime)
	var processor time.Duration
	var sum, resident int64
	for i, v := range f.VMs {
		u := readUsage(t, v.Process.Process.Pid)
		processor += u.processor - before[i].processor
		sum += u.bytes - before[i].bytes
		resident = max(resident, u.resident)
	}
	seconds := time.Since(began).Seconds()
	t.Logf("%d nodes at rest: %.2f platform reads/s, %.3f%% of a core and %.0f bytes/s a node, largest %d MB",
		nodes, float64(f.Platform.Reads()-reads)/seconds, 100*processor.Seconds()/seconds/float64(nodes),
		float64(sum)/seconds/float64(nodes), resident>>20)
}
