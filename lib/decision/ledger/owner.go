package ledger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key is the idempotency key of a unit of work.
type Key struct {
	Organisation, Service, Value string
}

// Owner returns the VM that keeps the claims on a key, which is the one of
// highest rendezvous rank. With rendezvous hashing a change of the list moves
// only the keys of the VMs that were added or removed. Owner returns an empty
// name if the list is empty.
func Owner(k Key, vms []string) string {
	base := k.hash()
	var best string
	var rank uint64
	for _, vm := range vms {
		r := rankOf(base, vm)
		if best == "" || r > rank || r == rank && vm < best {
			best, rank = vm, r
		}
	}
	return best
}

// hash returns a hash of the key. It includes the lengths of the parts, so that
// different keys never give the same input.
func (k Key) hash() uint64 {
	h := xxhash.New()
	var n [8]byte
	for _, s := range []string{k.Organisation, k.Service, k.Value} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		// Write of this hash never returns an error.
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(s)
	}
	return h.Sum64()
}

// rankOf returns the rendezvous rank of a VM for the hash of a key.
func rankOf(base uint64, vm string) uint64 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], base)
	h := xxhash.New()
	_, _ = h.Write(n[:])
	_, _ = h.WriteString(vm)
	return h.Sum64()
}
