// Package overload simulates the decisions of one service together under overload:
// its gates and entries run as plain values over an event queue with a virtual
// clock. It has no code outside its tests.
package overload
