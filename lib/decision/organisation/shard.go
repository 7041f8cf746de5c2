package organisation

import (
	"encoding/binary"
	"math/bits"
	"slices"
)

// shard finds organisations by those of their keys that have one first byte. It is a
// hash table with linear probing, whose slots hold only the organisations, as these
// hold their keys in ascending order.
type shard struct {
	slots []*Organisation
	// length is the number of keys.
	length int
}

// newShard returns a shard with room for the given number of keys. A quarter more slots
// keep the probes short.
func newShard(keys int) *shard { return &shard{slots: make([]*Organisation, keys+keys/4+1)} }

// home returns the slot at which the search for a key begins.
func (s *shard) home(k Key) int {
	// The first byte is the same for all keys of the shard.
	slot, _ := bits.Mul64(binary.BigEndian.Uint64(k[1:]), uint64(len(s.slots)))
	return int(slot)
}

// find returns the organisation that holds a key, or nil.
func (s *shard) find(k Key) *Organisation {
	for n := s.home(k); s.slots[n] != nil; n = (n + 1) % len(s.slots) {
		if _, ok := slices.BinarySearchFunc(s.slots[n].Keys, k, compareKeys); ok {
			return s.slots[n]
		}
	}
	return nil
}

// add adds a key that no other organisation in the shard holds. There must be room for
// it.
func (s *shard) add(k Key, o *Organisation) {
	s.length++
	n := s.home(k)
	for s.slots[n] != nil {
		if s.slots[n] == o {
			// The slot for another key of the organisation serves this one as well.
			return
		}
		n = (n + 1) % len(s.slots)
	}
	s.slots[n] = o
}
