// Package timeline records the events of a process with stamps of a hybrid logical
// clock, and merges the events of several processes into one time line.
//
// The clock implements Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical
// Physical Clocks" (OPODIS 2014): a stamp is never lower than any that the
// process has observed, and stays close to the wall clock.
package timeline
