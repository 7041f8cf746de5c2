package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
)

// store is a stand-in for the platform's metadata store. It serves only what
// sidecars read: a range of keys, in pages.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	// encoded holds the JSON form of each item.
	encoded map[string]json.RawMessage
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev"`
	Lease     uint64 `json:"lease"`
}

// pageItems and pageBytes bound a page.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func newStore() *store {
	return &store{items: make(map[string]storeItem), encoded: make(map[string]json.RawMessage)}
}

// put writes an item.
func (s *store) put(key string, value any) {
	text, ok := value.([]byte)
	if !ok {
		var err error
		if text, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	item := storeItem{Key: key, Value: text, Revision: s.revision, CreateRev: created}
	encoded, err := json.Marshal(item)
	if err != nil {
		panic(err)
	}
	s.items[key], s.encoded[key] = item, encoded
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/kv-range" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("path_prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var page bytes.Buffer
	page.WriteString(`{"items":[`)
	size, truncated := 0, false
	for n, k := range keys {
		if size += len(s.items[k].Value); n == pageItems || n > 0 && size > pageBytes {
			truncated = true
			break
		}
		if n > 0 {
			page.WriteByte(',')
		}
		page.Write(s.encoded[k])
	}
	fmt.Fprintf(&page, `],"truncated":%t,"store_revision":%d}`, truncated, s.revision)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// The caller may have left.
	_, _ = w.Write(page.Bytes())
}
