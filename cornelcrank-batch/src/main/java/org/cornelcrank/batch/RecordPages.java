package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.cornelcrank.batch.wire.PagesSnapshot;
import org.cornelcrank.partition.RecordPosition;

/**
 * Index of the durable records that hold the bodies of items, at {@value #BYTES_PER_PAGE} bytes per record.
 *
 * <p>A page is one record with the lowest and the highest item in it; the item ranges of pages may overlap. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class RecordPages {

    static final int BYTES_PER_PAGE = 2 * Integer.BYTES + Long.BYTES + Integer.BYTES;

    private static final int INITIAL_CAPACITY = 4;

    private int size;
    private int[] firstItems = new int[INITIAL_CAPACITY];
    private int[] lastItems = new int[INITIAL_CAPACITY];
    private long[] offsets = new long[INITIAL_CAPACITY];
    private int[] indexes = new int[INITIAL_CAPACITY];

    static RecordPages of(PagesSnapshot snapshot) {
        RecordPages pages = new RecordPages();
        for (int page = 0; page < snapshot.getOffsetsCount(); page++) {
            pages.add(
                    snapshot.getFirstItems(page),
                    snapshot.getLastItems(page),
                    new RecordPosition(snapshot.getOffsets(page), snapshot.getIndexes(page)));
        }
        return pages;
    }

    void add(int firstItem, int lastItem, RecordPosition position) {
        if (size == offsets.length) {
            grow(size + size / 2);
        }
        firstItems[size] = firstItem;
        lastItems[size] = lastItem;
        offsets[size] = position.offset();
        indexes[size] = position.index();
        size++;
    }

    int size() {
        return size;
    }

    /** Returns the records that may hold items of the given inclusive range, in the order in which they were added. */
    List<RecordPosition> covering(int firstItem, int lastItem) {
        RecordPages found = overlapping(firstItem, lastItem);
        List<RecordPosition> positions = new ArrayList<>(found.size);
        for (int page = 0; page < found.size; page++) {
            positions.add(found.position(page));
        }
        return positions;
    }

    /** Returns the pages that may hold items of the given inclusive range, in the order in which they were added. */
    RecordPages overlapping(int firstItem, int lastItem) {
        RecordPages found = new RecordPages();
        for (int page = 0; page < size; page++) {
            if (firstItems[page] <= lastItem && lastItems[page] >= firstItem) {
                found.add(firstItems[page], lastItems[page], position(page));
            }
        }
        return found;
    }

    /** Returns the item after the last one of the page that holds the given item; pages must not overlap. */
    int endOfPage(int item) {
        int low = 0;
        int high = size - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            if (lastItems[middle] < item) {
                low = middle + 1;
            } else if (firstItems[middle] > item) {
                high = middle - 1;
            } else {
                return lastItems[middle] + 1;
            }
        }
        throw new IllegalArgumentException("item must be in a page but was " + item);
    }

    /** Adds the positions before the offset to the list. */
    void collectBefore(long offset, List<RecordPosition> found) {
        for (int page = 0; page < size; page++) {
            if (offsets[page] < offset) {
                found.add(position(page));
            }
        }
    }

    /** Replaces a position; has no effect if no page has it. */
    void move(RecordPosition from, RecordPosition to) {
        for (int page = 0; page < size; page++) {
            if (offsets[page] == from.offset() && indexes[page] == from.index()) {
                offsets[page] = to.offset();
                indexes[page] = to.index();
            }
        }
    }

    void clear() {
        size = 0;
        grow(INITIAL_CAPACITY);
    }

    /** Returns the size of the arrays in bytes, including unused elements. */
    long allocatedBytes() {
        return (long) offsets.length * BYTES_PER_PAGE;
    }

    PagesSnapshot snapshot() {
        PagesSnapshot.Builder snapshot = PagesSnapshot.newBuilder();
        for (int page = 0; page < size; page++) {
            snapshot.addFirstItems(firstItems[page])
                    .addLastItems(lastItems[page])
                    .addOffsets(offsets[page])
                    .addIndexes(indexes[page]);
        }
        return snapshot.build();
    }

    private RecordPosition position(int page) {
        return new RecordPosition(offsets[page], indexes[page]);
    }

    private void grow(int capacity) {
        firstItems = Arrays.copyOf(firstItems, capacity);
        lastItems = Arrays.copyOf(lastItems, capacity);
        offsets = Arrays.copyOf(offsets, capacity);
        indexes = Arrays.copyOf(indexes, capacity);
    }
}
