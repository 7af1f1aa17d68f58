// Package timeline keeps what happened in a process, stamped with a hybrid
// logical clock, and merges the records of several processes into one order.
//
// The clock follows Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical
// Physical Clocks" (OPODIS 2014): a stamp is never lower than any that the
// process has seen, and stays close to the wall clock.
package timeline
