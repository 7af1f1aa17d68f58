// Package outernames holds the tests that pin the names by which stored records,
// messages and logs refer to fields and values. Entries of different versions
// run beside each other and read what the other has written.
package outernames
