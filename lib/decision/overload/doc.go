// Package overload measures the decisions of one service together: its gates and
// entries run as plain values over an event list with a virtual clock. It has no
// code outside its tests.
package overload
