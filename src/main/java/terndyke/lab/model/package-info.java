/**
 * Model of the receivers, without I/O and without a clock of its own: callers pass the time with each input, and outputs
 * carry the time at which they are due. The same objects can be driven by sockets or by a virtual clock.
 */
package terndyke.lab.model;
