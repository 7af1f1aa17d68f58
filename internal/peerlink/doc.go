// Package peerlink carries messages between entries over TCP.
//
// Each entry dials every peer and sends on the connection that it dialed; it
// receives on those that it accepted. So each direction has one connection, and
// the sender knows when messages on it may have been lost.
//
// A frame is a length of four bytes, a clock stamp of eight, and a payload. An
// empty payload is a ping, which the receiver answers with another. A
// connection whose pings go unanswered is given up and dialed anew: something
// between the two ends may have lost track of it.
package peerlink
