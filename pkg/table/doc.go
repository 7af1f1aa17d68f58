// Package table holds the operators' two tables, the table of routes and the
// table of pools, and the configuration that the fleet runs by.
//
// A Config is an immutable value with a revision. It changes only by applying
// a Change, and each Change raises the revision by one. What travels between
// entries is the Change; what the store keeps is the Config.
package table
