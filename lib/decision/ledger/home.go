package ledger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key names one piece of work.
type Key struct {
	Organisation, Service, Value string
}

// Owner returns the VM that keeps the claims on a key: the one of highest
// rendezvous rank, so that a change of the list moves only the keys of the VMs
// that came or went. It returns the empty name if there is no VM.
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

// hash covers the lengths, so that no two keys have the same input.
func (k Key) hash() uint64 {
	h := xxhash.New()
	var n [8]byte
	for _, s := range []string{k.Organisation, k.Service, k.Value} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		// A write to a hash never fails.
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(s)
	}
	return h.Sum64()
}

func rankOf(base uint64, vm string) uint64 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], base)
	h := xxhash.New()
	_, _ = h.Write(n[:])
	_, _ = h.WriteString(vm)
	return h.Sum64()
}
