// Package table defines the operators' two tables, the table of routes and the
// table of pools, and the configuration of the fleet that contains them.
//
// A Config is an immutable value with a revision. It changes only by applying a
// Change, and each Change increments the revision by one. Entries exchange
// Changes; the store holds the Config. A VM here is a VM of the fleet, which
// offers the service executor or worker, or the entry VM of a voter.
package table
