// Package timeline records the events of a process with stamps of a hybrid logical
// clock, and merges the events of several processes into one timeline.
//
// The clock implements Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical
// Physical Clocks" (OPODIS 2014): a stamp is higher than any that the process has
// issued or observed, and stays close to the wall clock. Observed stamps too far
// ahead of the wall clock are ignored.
//
// An entry is a process that accepts requests and tasks from callers.
package timeline
