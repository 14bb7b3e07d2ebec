package terndyke.decision;

/** Coarse bins, each twice as wide as the one before, halved whenever they are full, so that the old fades. */
final class Histogram {
    private final int[] bins = new int[40];
    private final int full;
    private int total;

    Histogram(int full) {
        this.full = full;
    }

    void add(long value) {
        bins[Math.min(bins.length - 1, 64 - Long.numberOfLeadingZeros(Math.max(0, value)))]++;
        if (++total >= full) {
            total = 0;
            for (int i = 0; i < bins.length; i++) {
                total += bins[i] /= 2;
            }
        }
    }

    /** The upper edge of the bin in which the median lies; 0 where nothing was seen. */
    long median() {
        int below = 0;
        for (int i = 0; i < bins.length; i++) {
            below += bins[i];
            if (2 * below > total) {
                return 1L << i;
            }
        }
        return 0;
    }
}
