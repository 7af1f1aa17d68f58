// Package task keeps the records of tasks: what was submitted, each attempt,
// and each result.
//
// An entry appends records to a log of segments in the store, a group of them
// at a time, and owns its log through a fence key. Another entry that adopts
// the log of a departed one replaces the fence first, so that a late write of
// the former owner fails.
package task
