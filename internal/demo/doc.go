// Package demo runs several entries with the stand-ins in one process, drives
// both kinds of work through the operators' everyday events, and checks from
// the outside what must always hold: by what callers were told and by what the
// stand-ins saw run.
package demo
