package delta

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

// TestApply guards against a delta that is larger than the change, against one
// that is applied to a base it was not made from, and against a wrong result.
func TestApply(t *testing.T) {
	var b strings.Builder
	long := strings.Repeat("0123456789", 100)
	for _, c := range []struct{ name, base, result string }{
		{"same", "abc", "abc"},
		{"insert", "abc", "abXc"},
		{"remove", "abXc", "abc"},
		{"repeated bytes", "aaaa", "aaaaaa"},
		{"empty base", "", "abc"},
		{"empty result", "abc", ""},
		{"middle of long", long, long[:500] + "X" + long[501:]},
	} {
		d, ok := Make([]byte(c.base), []byte(c.result))
		got, err := d.Apply([]byte(c.base))
		fmt.Fprintf(&b, "%s: %v, %d removed at %d, %q inserted; same %v, %v\n",
			c.name, ok, d.Removed, d.Offset, d.Inserted, string(got) == c.result, err)
	}
	d, _ := Make([]byte("abc"), []byte("abXc"))
	for _, c := range []struct {
		name   string
		change func(*Delta)
	}{
		{"other base", func(d *Delta) { d.Base[0]++ }},
		{"other result", func(d *Delta) { d.Result[0]++ }},
		{"negative offset", func(d *Delta) { d.Offset = -1 }},
		{"range too long", func(d *Delta) { d.Removed = 1 << 62 }},
		{"inserted too long", func(d *Delta) { d.Inserted = make([]byte, MaxInserted+1) }},
	} {
		bad := d
		c.change(&bad)
		_, err := bad.Apply([]byte("abc"))
		fmt.Fprintf(&b, "%s: %.40v\n", c.name, err)
	}
	_, ok := Make(nil, make([]byte, MaxInserted+1))
	fmt.Fprintf(&b, "too large a change: %v\n", ok)
	golden.Check(t, "apply", b.String())
}

// FuzzApply guards against a panic on any delta, and against a result that does
// not have the digest in the delta.
func FuzzApply(f *testing.F) {
	f.Add([]byte("abc"), []byte("abXc"), int64(1), int64(1), []byte("x"))
	f.Add([]byte(""), []byte("aaaa"), int64(-1), int64(1)<<62, []byte{})
	f.Fuzz(func(t *testing.T, base, result []byte, offset, removed int64, inserted []byte) {
		if d, ok := Make(base, result); ok {
			got, err := d.Apply(base)
			if err != nil || !bytes.Equal(got, result) {
				t.Fatalf("got %q, %v", got, err)
			}
		}
		d := Delta{Base: sha256.Sum256(base), Result: sha256.Sum256(result), Offset: offset, Removed: removed, Inserted: inserted}
		if got, err := d.Apply(base); err == nil && !bytes.Equal(got, result) {
			t.Fatalf("got %q, want %q", got, result)
		}
	})
}
