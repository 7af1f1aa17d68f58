// Package peerlink carries messages between entries over TCP.
//
// Each entry dials every peer. It sends only on the connections that it dialed
// and receives only on those that it accepted. So each direction has one
// connection, and the sender detects when messages on it may have been lost.
//
// A frame consists of a 4-byte length, an 8-byte clock stamp and a payload. An
// empty payload is a ping, which the receiver acknowledges with an empty frame
// of its own. A connection whose pings are not acknowledged in time is closed
// and dialed again: a device on the path may have dropped its state.
package peerlink
