package terndyke.node.http;

import java.net.BindException;
import java.net.SocketException;

/** Tells why a connection could not be established: for lack of something on this machine, or because of the other side. */
final class ConnectFailure {

    private ConnectFailure() { }

    /**
     * True if the system refused a socket or a local address (EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL), which says nothing of
     * the other side. Java reports these as exactly SocketException or BindException, and those of the other side by other
     * subclasses.
     */
    static boolean isLocal(Exception cause) {
        return cause instanceof BindException || cause != null && cause.getClass() == SocketException.class;
    }
}
