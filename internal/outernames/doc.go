// Package outernames contains tests that pin the names of fields and values in
// stored records, messages and logs. Entries of different versions run
// concurrently and read the records and messages of each other.
package outernames
