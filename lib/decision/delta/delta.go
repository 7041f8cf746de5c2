package delta

import (
	"bytes"
	"crypto/sha256"
	"fmt"
)

const (
	// MaxDocument is the size in bytes of the largest document. The platform
	// stores values of up to 1 MB.
	MaxDocument = 1 << 20
	// MaxInserted is the largest number of inserted bytes in a delta. A larger
	// change is cheaper to send as the whole document in pieces, whose transfer can
	// be resumed.
	MaxInserted = 64 << 10
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindBase   Kind = "other base"
	KindRange  Kind = "range outside the base"
	KindSize   Kind = "too large"
	KindResult Kind = "other result"
)

// Error reports why a delta could not be applied.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("delta: %s: %s: %s", e.Op, e.Kind, e.Detail) }

// Digest is the SHA-256 digest of a document.
type Digest = [sha256.Size]byte

// Delta describes a change that replaces the Removed bytes of the base from
// Offset on by Inserted. Base and Result are the digests before and after it.
type Delta struct {
	Base, Result Digest
	Offset       int64
	Removed      int64
	Inserted     []byte
}

// Make returns the delta from base to result. It returns false if more than
// MaxInserted bytes would be inserted. Inserted shares memory with result.
func Make(base, result []byte) (Delta, bool) {
	start := commonPrefix(base, result)
	end := commonSuffix(base[start:], result[start:])
	inserted := result[start : len(result)-end]
	if len(inserted) > MaxInserted {
		return Delta{}, false
	}
	return Delta{
		Base: sha256.Sum256(base), Result: sha256.Sum256(result),
		Offset: int64(start), Removed: int64(len(base) - end - start), Inserted: inserted,
	}, true
}

// blockSize is the number of bytes compared at a time, which is faster than
// comparing single bytes.
const blockSize = 256

// commonPrefix returns the length in bytes of the longest common prefix.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for i+blockSize <= n && bytes.Equal(a[i:i+blockSize], b[i:i+blockSize]) {
		i += blockSize
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

// commonSuffix returns the length in bytes of the longest common suffix.
func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	i := 0
	for i+blockSize <= n && bytes.Equal(a[len(a)-i-blockSize:len(a)-i], b[len(b)-i-blockSize:len(b)-i]) {
		i += blockSize
	}
	for i < n && a[len(a)-1-i] == b[len(b)-1-i] {
		i++
	}
	return i
}

// Apply returns the result of applying the delta to base, which is not changed.
// It returns an *Error if base is not the base of the delta, if the range lies
// outside it, if a limit is exceeded, or if the result has the wrong digest.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if sha256.Sum256(base) != d.Base {
		return nil, &Error{"apply", KindBase, fmt.Sprintf("want %.4x", d.Base)}
	}
	size := int64(len(base))
	if d.Offset < 0 || d.Removed < 0 || d.Offset > size || d.Removed > size-d.Offset {
		return nil, &Error{"apply", KindRange, fmt.Sprintf("%d bytes at %d of %d", d.Removed, d.Offset, size)}
	}
	if n := size - d.Removed + int64(len(d.Inserted)); len(d.Inserted) > MaxInserted || n > MaxDocument {
		return nil, &Error{"apply", KindSize, fmt.Sprintf("%d bytes inserted, %d in all", len(d.Inserted), n)}
	}
	out := make([]byte, 0, size-d.Removed+int64(len(d.Inserted)))
	out = append(out, base[:d.Offset]...)
	out = append(out, d.Inserted...)
	out = append(out, base[d.Offset+d.Removed:]...)
	if sha256.Sum256(out) != d.Result {
		return nil, &Error{"apply", KindResult, fmt.Sprintf("want %.4x", d.Result)}
	}
	return out, nil
}
