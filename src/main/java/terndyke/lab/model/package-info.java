/**
 * The receiving side without I/O or clock: what happens is told with its time, and what follows comes out with the time
 * when it is due. Sockets or a virtual clock drive the same objects.
 */
package terndyke.lab.model;
