package strict

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// String returns a string member, or the empty string if it is missing or faulty.
func (o *Object) String(name string) string {
	s, _ := decode[string](o, name, "a string")
	return s
}

// Strings returns the elements of an array of strings, without faulty ones. It
// returns nil if the member is missing.
func (o *Object) Strings(name string) []string {
	var out []string
	for i, v := range o.elements(name) {
		if s, ok := decodeValue[string](o, name, i, v, "a string"); ok {
			out = append(out, s)
		}
	}
	return out
}

// Bool returns a boolean member, or false if it is missing or faulty.
func (o *Object) Bool(name string) bool {
	b, _ := decode[bool](o, name, "true or false")
	return b
}

// Int returns an integer member from lo to hi, or def if it is missing or faulty.
func (o *Object) Int(name string, def, lo, hi int) int {
	if o.find(name) == nil {
		o.member(name)
		return def
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	n, ok := decode[int](o, name, allowed)
	if !ok {
		return def
	}
	if n < lo || n > hi {
		o.Reject(name, strconv.Itoa(n), allowed)
		return def
	}
	return n
}

// Duration returns a duration member such as "1.5s" from lo to hi, or def if it is
// missing or faulty.
func (o *Object) Duration(name string, def, lo, hi time.Duration) time.Duration {
	allowed := fmt.Sprintf("a duration such as \"1.5s\" from %v to %v", lo, hi)
	s, ok := decode[string](o, name, allowed)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < lo || d > hi {
		o.Reject(name, strconv.Quote(s), allowed)
		return def
	}
	return d
}

// AddrPort returns an IP address and port such as "10.0.0.1:7000", or the zero value
// if the member is missing or faulty.
func (o *Object) AddrPort(name string) netip.AddrPort {
	const allowed = "an IP address and port such as \"10.0.0.1:7000\""
	s, ok := decode[string](o, name, allowed)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		o.Reject(name, strconv.Quote(s), allowed)
	}
	return a
}

// Float returns a number member from lo to hi, or def if it is missing or faulty.
func (o *Object) Float(name string, def, lo, hi float64) float64 {
	if o.member(name) == nil {
		return def
	}
	allowed := fmt.Sprintf("a number from %v to %v", lo, hi)
	v, ok := decode[float64](o, name, allowed)
	if !ok {
		return def
	}
	if v < lo || v > hi {
		o.Reject(name, strconv.FormatFloat(v, 'g', -1, 64), allowed)
		return def
	}
	return v
}
