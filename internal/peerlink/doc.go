// Package peerlink carries messages between entries over TCP.
//
// A peer is another entry; events call it a member and name it by its ID. Each
// entry dials every peer. It sends only on the connections that it dialed and
// receives only on those that it accepted. So each direction has one connection,
// and the sender detects when messages on it may have been lost.
//
// A frame consists of a 4-byte length, which counts the bytes after it, an
// 8-byte stamp of the sender's logical clock (package timeline) and a payload.
// An empty payload is a ping. The receiver acknowledges it with an empty frame
// of its own, the pong. A connection whose pings are not acknowledged in time is
// closed and dialed again: a device on the path may have dropped its state.
package peerlink
