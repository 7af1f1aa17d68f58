// Package runner drives one entry: it feeds events to the reducer, one at a
// time, and carries out the effects with real clocks, sockets and the store.
package runner
