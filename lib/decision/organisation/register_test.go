package organisation

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiarack.example/lib/golden"
)

func named(name string, keys ...string) Organisation {
	o := Organisation{Name: name}
	for _, k := range keys {
		o.Keys = append(o.Keys, NewKey(k))
	}
	return o
}

// TestRegister guards against registers with organisations that cannot be told apart
// or named to an instance, and against errors that contain a key.
func TestRegister(t *testing.T) {
	limits := func(rate, burst float64) Organisation {
		o := named("a", "secret1")
		o.Rate, o.Burst = rate, burst
		return o
	}
	prioritised := func(priority int) Organisation {
		o := named("a", "secret1")
		o.Priority = priority
		return o
	}
	cases := []struct {
		name string
		list []Organisation
	}{
		{"none", nil},
		{"two", []Organisation{named("a", "secret1", "secret2"), named("b", "secret3")}},
		{"without keys", []Organisation{named("a")}},
		{"key repeated in one organisation", []Organisation{named("a", "secret1", "secret1")}},
		{"same key", []Organisation{named("a", "secret1", "secret2"), named("b", "secret2")}},
		{"same name", []Organisation{named("a", "secret1"), named("a", "secret2")}},
		{"same name without keys", []Organisation{named("a"), named("a")}},
		{"no name", []Organisation{named("", "secret1")}},
		{"name of 200 bytes", []Organisation{named(strings.Repeat("a", 200), "secret1")}},
		{"name of 201 bytes", []Organisation{named(strings.Repeat("a", 201), "secret1")}},
		{"name with a space", []Organisation{named("a b", "secret1")}},
		{"name with a line end", []Organisation{named("a\r\nX: 1", "secret1")}},
		{"name with a space before", []Organisation{named(" a", "secret1")}},
		{"name with a space after", []Organisation{named("a ", "secret1")}},
		{"name with a tab", []Organisation{named("a\tb", "secret1")}},
		{"name with 0x7F", []Organisation{named("a\x7fb", "secret1")}},
		{"name above 0x7F", []Organisation{named("J\xf6rg", "secret1")}},
		{"empty key", []Organisation{named("a", "secret1", "")}},
		{"negative rate", []Organisation{limits(-1, 0)}},
		{"negative burst", []Organisation{limits(1, -0.5)}},
		{"rate that is no number", []Organisation{limits(math.NaN(), 0)}},
		{"infinite burst", []Organisation{limits(1, math.Inf(1))}},
		{"negative priority", []Organisation{prioritised(-1)}},
		{"priority beyond 32 bits", []Organisation{prioritised(1 << 40)}},
	}
	var b strings.Builder
	for _, tc := range cases {
		r, err := NewRegister(nil, tc.list)
		if err != nil {
			var e *Error
			fmt.Fprintf(&b, "%s: %t %v\n", tc.name, errors.As(err, &e), err)
			continue
		}
		fmt.Fprintf(&b, "%s: %d\n", tc.name, r.Len())
		for _, k := range []string{"secret1", "secret2", "secret3", "", "Secret1"} {
			if o, ok := r.Find(NewKey(k)); ok {
				fmt.Fprintf(&b, "  %q: %q %v\n", k, o.Name, o.Keys)
			}
		}
	}
	golden.Check(t, "register", b.String())
}

// TestRegisterShares guards against a change of one organisation that copies the
// whole register, and against shards of the previous register that still hold a
// revoked key.
func TestRegisterShares(t *testing.T) {
	list := organisations(1000)
	first, err := NewRegister(nil, list)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	check := func(name string, changed []Organisation) {
		next, err := NewRegister(first, changed)
		if err != nil {
			t.Fatal(err)
		}
		shards, kept := 0, 0
		for n := range next.shards {
			if fmt.Sprintf("%p", next.shards[n]) == fmt.Sprintf("%p", first.shards[n]) {
				shards++
			}
		}
		for _, o := range list {
			before, _ := first.Find(o.Keys[0])
			if after, ok := next.Find(o.Keys[0]); ok && after == before {
				kept++
			}
		}
		_, ok := next.Find(list[0].Keys[0])
		fmt.Fprintf(&b, "%s: shares %d shards and %d organisations, first key known: %t\n", name, shards, kept, ok)
	}
	check("no change", list)
	check("other order", append(slices.Clone(list[1:]), list[0]))
	replace := func(change func(o *Organisation)) []Organisation {
		out := slices.Clone(list)
		out[0].Keys = slices.Clone(out[0].Keys)
		change(&out[0])
		return out
	}
	check("rate", replace(func(o *Organisation) { o.Rate = 7 }))
	check("key revoked", replace(func(o *Organisation) { o.Keys = o.Keys[1:] }))
	check("key replaced", replace(func(o *Organisation) { o.Keys[0] = NewKey("new") }))
	check("organisation removed", list[1:])
	check("organisation added", append(slices.Clone(list), named("new", "new")))
	golden.Check(t, "shares", b.String())
}

// TestRegisterModel guards against a register built from another one that differs from
// one built alone, over random changes. It fails without the comparison of the numbers
// of keys in a shard: a key is then still known after its organisation was removed.
func TestRegisterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var previous *Register
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			var list []Organisation
			for n := range rapid.IntRange(0, 6).Draw(t, "organisations") {
				o := Organisation{Name: fmt.Sprint("o", n), Rate: float64(rapid.IntRange(0, 1).Draw(t, "rate"))}
				for range rapid.IntRange(0, 3).Draw(t, "keys") {
					o.Keys = append(o.Keys, modelKey(rapid.IntRange(0, modelKeys-1).Draw(t, "key")))
				}
				list = append(list, o)
			}
			alone, aloneErr := NewRegister(nil, list)
			next, err := NewRegister(previous, list)
			if (err == nil) != (aloneErr == nil) {
				t.Fatalf("errors differ: %v, %v", err, aloneErr)
			}
			if err != nil {
				continue
			}
			for k := range modelKeys {
				key := modelKey(k)
				want, ok := alone.Find(key)
				got, found := next.Find(key)
				if ok != found || ok && (got.Name != want.Name || got.Rate != want.Rate || !slices.Equal(got.Keys, want.Keys)) {
					t.Fatalf("key %d: %v, want %v", k, got, want)
				}
			}
			previous = next
		}
	})
}

const modelKeys = 13

// modelKey returns one of the keys of TestRegisterModel, which share two shards.
func modelKey(n int) Key {
	k := NewKey(fmt.Sprint(n))
	k[0] = byte(n % 2)
	return k
}

// TestDecide guards against a 401 for a key that may be newer than the register,
// against keys that are accepted after they may have been revoked, and against public
// requests that are refused for their keys.
func TestDecide(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b strings.Builder
	presented := []string{NoKey: "none", Malformed: "malformed", Unknown: "unknown", Known: "known"}
	proofs := []struct {
		name string
		age  time.Duration
	}{{"no proof", -1}, {"before arrival", 4910 * time.Millisecond}, {"at the bound", 4900 * time.Millisecond},
		{"just before arrival", 20 * time.Millisecond}, {"at arrival", 10 * time.Millisecond}, {"after arrival", 9 * time.Millisecond}}
	for _, public := range []bool{false, true} {
		for _, maxAge := range []time.Duration{0, 5 * time.Second} {
			fmt.Fprintf(&b, "public %t, greatest age %v\n", public, maxAge)
			for _, p := range proofs {
				proof := Proof{Fresh: maxAge == 0 || p.age >= 0 && p.age <= maxAge-100*time.Millisecond}
				if p.age >= 0 {
					proof.ProvedAt = now.Add(-p.age)
				}
				fmt.Fprintf(&b, "  %s:", p.name)
				for n, name := range presented {
					r := Request{Presented: Presented(n), Public: public, ArrivedAt: now.Add(-10 * time.Millisecond)}
					fmt.Fprintf(&b, " %s: %s;", name, Decide(r, proof))
				}
				b.WriteString("\n")
			}
		}
	}
	golden.Check(t, "verdicts", b.String())
}

// organisations returns n organisations with two keys each.
func organisations(n int) []Organisation {
	list := make([]Organisation, n)
	for i := range list {
		var text [9]byte
		binary.BigEndian.PutUint64(text[:], uint64(i))
		list[i] = Organisation{Name: fmt.Sprintf("organisation-%d", i), Rate: 2, Burst: 5}
		for text[8] = range byte(2) {
			list[i].Keys = append(list[i].Keys, NewKey(string(text[:])))
		}
	}
	return list
}

// benchmarkOrganisations is the number of organisations of the largest deployment.
const benchmarkOrganisations = 230_000

// retained returns the heap memory in megabytes after a collection.
func retained() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

func BenchmarkRegister(b *testing.B) {
	list := organisations(benchmarkOrganisations)
	build := func(b *testing.B, previous *Register, list []Organisation) {
		b.ReportAllocs()
		var r *Register
		before := retained()
		b.ResetTimer()
		for b.Loop() {
			var err error
			if r, err = NewRegister(previous, list); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(retained()-before, "retained-MB")
		runtime.KeepAlive(r)
		runtime.KeepAlive(previous)
		runtime.KeepAlive(list)
	}
	b.Run("build", func(b *testing.B) { build(b, nil, list) })
	first, err := NewRegister(nil, list)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("change", func(b *testing.B) {
		changed := slices.Clone(list)
		changed[7].Rate = 3
		build(b, first, changed)
	})
	b.Run("find", func(b *testing.B) {
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			if _, ok := first.Find(list[n%len(list)].Keys[1]); !ok {
				b.Fatal("not found")
			}
			n += 7919
		}
	})
}
