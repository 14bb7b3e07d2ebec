package terndyke.node.discovery;

import terndyke.api.ListedEndpoint.EndpointState;

/**
 * An entry of discovery's list, with names where {@link terndyke.api.ListedEndpoint} has the numbers of this process run. The
 * address is null in an entry that leaves it as it was.
 */
public record ListEntry(String uid, String address, String zone, String kind, float rate, EndpointState state, long bootMillis,
        int destination) {

    /**
     * True if the process at the address is the one that the previous entry of this uid was about: at the same address, and not started
     * since. An endpoint that comes back after it had left is another process too.
     */
    boolean isSameProcess(ListEntry previous) {
        return address.equals(previous.address) && destination == previous.destination && bootMillis <= previous.bootMillis
                && previous.state != EndpointState.GONE;
    }

    /** The same entry in another state. */
    public ListEntry withState(EndpointState otherState) {
        return new ListEntry(uid, address, zone, kind, rate, otherState, bootMillis, destination);
    }

    /** The same entry with another address. */
    ListEntry withAddress(String otherAddress) {
        return new ListEntry(uid, otherAddress, zone, kind, rate, state, bootMillis, destination);
    }

    /** The same entry with another rate. */
    public ListEntry withRate(float otherRate) {
        return new ListEntry(uid, address, zone, kind, otherRate, state, bootMillis, destination);
    }
}
