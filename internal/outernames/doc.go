// Package outernames contains tests that pin the outer names of the system: the
// names of fields and values in stored records, messages and logs. They must not
// change, because entries of different versions run concurrently and read the
// records and messages of each other.
package outernames
