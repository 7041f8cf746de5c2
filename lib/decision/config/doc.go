// Package config compiles the register and the rules of one revision into the
// configuration that the other decision packages use.
//
// A Configuration is immutable after Decode and safe for concurrent use.
package config
