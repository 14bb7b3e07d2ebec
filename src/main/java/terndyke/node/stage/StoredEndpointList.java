package terndyke.node.stage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import terndyke.api.ListedEndpoint.EndpointState;
import terndyke.node.discovery.ListEntry;
import terndyke.node.journal.JournalEntry.EndpointsListed;

/**
 * Discovery's list as the journal has it, for the next run: that one acts on it while discovery is silent. Changes of the rate alone
 * are not stored; they may come often, and the first list of the next run states it anew.
 */
final class StoredEndpointList {
    private static final int MAX_ENTRIES_AT_ONCE = 200; // so that a journal entry stays well below its largest size
    private static final int ENTRY_OVERHEAD_BYTES = 64; // upper bound for an entry without its texts

    private final Map<String, ListEntry> entriesByUid = new LinkedHashMap<>();
    private long revision;
    private long storedBytes;

    boolean isEmpty() {
        return entriesByUid.isEmpty();
    }

    long revision() {
        return revision;
    }

    Collection<ListEntry> entries() {
        return entriesByUid.values();
    }

    /** Upper bound of the journal bytes that the list takes after a compaction. */
    long storedBytes() {
        return storedBytes;
    }

    /** Applies a change that the journal has or gets. */
    void apply(EndpointsListed change) {
        for (ListEntry entry : change.entries()) {
            ListEntry previous = entry.state() == EndpointState.GONE ? entriesByUid.remove(entry.uid())
                    : entriesByUid.put(entry.uid(), entry);
            storedBytes += (entry.state() == EndpointState.GONE ? 0 : sizeOf(entry)) - (previous == null ? 0 : sizeOf(previous));
        }
        revision = change.revision();
    }

    private static int sizeOf(ListEntry entry) {
        return ENTRY_OVERHEAD_BYTES + entry.uid().length() + entry.address().length() + entry.zone().length() + entry.kind().length();
    }

    /** The changes that make this list the given one, or that the given changes mean for it; none if there is nothing new. */
    List<EndpointsListed> changesTo(long newRevision, boolean complete, List<ListEntry> told) {
        List<ListEntry> changed = new ArrayList<>();
        Set<String> toldUids = new HashSet<>();
        for (ListEntry entry : told) {
            toldUids.add(entry.uid());
            if (isNew(entry)) {
                changed.add(entry);
            }
        }
        if (complete) {
            entriesByUid.values().stream().filter(entry -> !toldUids.contains(entry.uid()))
                    .forEach(entry -> changed.add(entry.withState(EndpointState.GONE)));
        }
        return changed.isEmpty() && newRevision == revision ? List.of() : split(newRevision, changed);
    }

    private boolean isNew(ListEntry entry) {
        ListEntry stored = entriesByUid.get(entry.uid());
        return stored == null ? entry.state() != EndpointState.GONE : !stored.equals(entry.withRate(stored.rate()));
    }

    /** The whole list, for a compaction. */
    List<EndpointsListed> toJournalEntries() {
        return isEmpty() && revision == 0 ? List.of() : split(revision, List.copyOf(entriesByUid.values()));
    }

    /** Only the last part states the new revision: a kill between two parts leaves a list that is still to be brought up to it. */
    private List<EndpointsListed> split(long newRevision, List<ListEntry> entries) {
        List<EndpointsListed> parts = new ArrayList<>();
        int start = 0;
        for (; entries.size() - start > MAX_ENTRIES_AT_ONCE; start += MAX_ENTRIES_AT_ONCE) {
            parts.add(new EndpointsListed(revision, List.copyOf(entries.subList(start, start + MAX_ENTRIES_AT_ONCE))));
        }
        parts.add(new EndpointsListed(newRevision, List.copyOf(entries.subList(start, entries.size()))));
        return parts;
    }
}
