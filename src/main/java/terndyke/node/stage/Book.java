package terndyke.node.stage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import terndyke.api.Ending;
import terndyke.node.Counters;
import terndyke.node.Counters.Count;
import terndyke.node.Limits;
import terndyke.node.NodeLog;
import terndyke.node.journal.Entry;
import terndyke.node.journal.Journal;

/** Last stage, and first for what must be on disk before it happens: what the node owes, here and in the journal. */
public final class Book {
    private static final int BESIDE_BODY = 700; // bytes of a record's other entries, at most
    private static final int OVER = 160; // bytes of a record that is over

    private final Journal journal;
    private final Limits limits;
    private final Counters counters;
    private final NodeLog log;
    private final Map<Long, Owed> byNumber = new LinkedHashMap<>();
    private final Map<String, Owed> byId = new HashMap<>();
    private final Deque<Owed> over = new ArrayDeque<>(); // in the order of their ends
    private int held;
    private long live; // bytes that a compaction would keep, about
    private long promised; // bytes of what was admitted and is not booked yet
    private int admitted;
    private boolean failing;

    public Book(Journal journal, Limits limits, Counters counters, NodeLog log) {
        this.journal = journal;
        this.limits = limits;
        this.counters = counters;
        this.log = log;
    }

    /** Fills the book from the entries of the last life; returns the records in the order of their taking. */
    public Collection<Owed> restore(List<Entry> entries) {
        for (Entry entry : entries) {
            Owed owed = byNumber.get(entry.number());
            if (entry instanceof Entry.Taken taken && owed == null) {
                keep(new Owed(taken, false, false, null));
            } else if (owed == null) {
                log.warn("journal: " + entry.getClass().getSimpleName() + " of a record that it does not hold");
            } else if (entry instanceof Entry.ShotFired fired) {
                owed.shots.add(new Owed.Shot(fired.shot(), -1, fired.endpoint(), fired.zone(), fired.at()));
            } else if (entry instanceof Entry.ShotOver shotOver) {
                owed.shots.stream().filter(shot -> shot.number == shotOver.shot())
                        .forEach(shot -> shot.ending = shotOver.ending());
            } else if (entry instanceof Entry.Ended ended && owed.end == null) {
                end(owed, ended.end(), ended.waitTold());
            } else if (entry instanceof Entry.Told) {
                owed.told = true;
            }
        }
        return byNumber.values();
    }

    public long lastNumber() {
        return byNumber.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    Owed byId(String id) {
        return byId.get(id);
    }

    Owed byNumber(long number) {
        return byNumber.get(number);
    }

    /** Records that are held, with those that were admitted in this turn. */
    int held() {
        return held + admitted;
    }

    /** Is there room for one more record, with all that may have to be booked for it? Then it is set aside. */
    boolean roomFor(int body) {
        long then = live + promised + body + BESIDE_BODY;
        boolean room = !failing && then < limits.journalBytes() * 2 / 5 && then < limits.heldBytes();
        if (room && journal.room(then) < limits.journalReserve() && journal.room(live) >= 0) {
            compact();
        }
        room = room && journal.room(then) >= limits.journalReserve();
        if (room) {
            promised += body + BESIDE_BODY;
            admitted++;
        } else {
            counters.add(Count.JOURNAL_REFUSALS);
        }
        return room;
    }

    /** All that was admitted in this turn has been booked or refused. */
    void settled() {
        promised = 0;
        admitted = 0;
    }

    /** Books a record that is taken on; false where that failed and nothing is owed. */
    boolean taken(Owed owed) {
        if (!write(owed.taken, limits.journalReserve())) {
            return false;
        }
        keep(owed);
        return true;
    }

    private void keep(Owed owed) {
        byNumber.put(owed.taken.number(), owed);
        byId.put(owed.taken.id(), owed);
        held++;
        live += owed.taken.body().length + BESIDE_BODY;
    }

    /** Books a shot before its first byte leaves. */
    boolean fired(Owed owed, Owed.Shot shot) {
        return write(new Entry.ShotFired(owed.taken.number(), shot.number, shot.endpoint, shot.zone, shot.firedAt), 0);
    }

    void shotOver(Owed owed, Owed.Shot shot, Ending ending) {
        shot.ending = ending;
        shot.line = null;
        write(new Entry.ShotOver(owed.taken.number(), shot.number, ending), 0);
    }

    void ended(Owed owed, Entry.End end, long wait) {
        if (owed.end == null) {
            write(new Entry.Ended(owed.taken.number(), end, wait), 0);
            end(owed, end, wait);
        }
    }

    private void end(Owed owed, Entry.End end, long wait) {
        owed.end = end;
        owed.wait = wait;
        owed.told = end == Entry.End.DONE || end == Entry.End.WITHDRAWN;
        held--;
        live += OVER - owed.taken.body().length - BESIDE_BODY;
        owed.dropBody();
        over.addLast(owed);
    }

    void told(Owed owed) {
        owed.told = true;
        write(new Entry.Told(owed.taken.number()), 0);
    }

    /** Forgets what is over, told and past its time, or was over longest where there are too many. */
    void forget(long now, long rest) {
        for (int i = over.size(); i > 0; i--) {
            Owed owed = over.pollFirst();
            boolean out = owed.shots.stream().anyMatch(shot -> shot.ending == null && shot.line != null);
            if (owed.told && !out && (now > owed.taken.abandonAt() + rest || over.size() > limits.remembered())) {
                byNumber.remove(owed.taken.number());
                byId.remove(owed.taken.id(), owed);
                live -= OVER;
            } else {
                over.addLast(owed);
            }
        }
    }

    /** Compacts where the next entries might not leave room for that any more. */
    void tidy() {
        if (failing || journal.room(live) < limits.journalReserve()) {
            compact();
        }
    }

    private void compact() {
        try {
            if (journal.compact(entries())) {
                counters.add(Count.JOURNAL_COMPACTIONS);
                failing = false;
            }
        } catch (IOException e) {
            log.warn("journal: compaction failed", e);
        }
    }

    private List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        for (Owed owed : byNumber.values()) {
            Entry.Taken taken = owed.taken;
            long number = taken.number();
            entries.add(taken);
            for (Owed.Shot shot : owed.shots) {
                if (owed.open() || shot.ending == null) {
                    entries.add(new Entry.ShotFired(number, shot.number, shot.endpoint, shot.zone, shot.firedAt));
                }
                if (owed.open() && shot.ending != null) {
                    entries.add(new Entry.ShotOver(number, shot.number, shot.ending));
                }
            }
            if (!owed.open()) {
                entries.add(new Entry.Ended(number, owed.end, owed.wait));
                if (owed.told && owed.end != Entry.End.DONE && owed.end != Entry.End.WITHDRAWN) {
                    entries.add(new Entry.Told(number));
                }
            }
        }
        return entries;
    }

    private boolean write(Entry entry, long reserve) {
        try {
            if (reserve > 0 && journal.room(0) < reserve + Journal.bytes(entry)) {
                return false;
            }
            journal.append(entry);
            counters.add(Count.JOURNAL_ENTRIES);
            return true;
        } catch (IOException e) {
            if (!failing) {
                log.warn("journal: no entry could be written", e);
            }
            failing = true;
            return false;
        }
    }
}
