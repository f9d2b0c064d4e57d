package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import org.cornelcrank.batch.wire.BatchRecord;
import org.cornelcrank.batch.wire.ItemResult;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.ForwardedCommand;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.partition.RecordPosition;

/**
 * Reads pages of lines and results from the log for callers.
 *
 * <p>Invariants: a page holds at least one line if there is one, whatever its size, and otherwise at most
 * {@code maxPageBytes} bytes; if several records hold a result of the same item, the first one is used. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class PageReader {

    private static final int MAX_RECORDS_PER_PAGE = 8;
    private static final int MAX_ITEMS_PER_PAGE = 1_000;
    private static final long RETRY_AFTER_MS = 1_000;

    private final BatchContext context;
    private final PartitionId partition;
    private final OwnerReplies replies;

    PageReader(BatchContext context, PartitionId partition, OwnerReplies replies) {
        this.context = context;
        this.partition = partition;
        this.replies = replies;
    }

    void readFile(HostId origin, ForwardedCommand command, StoredFile file, ReadFile read, long nowMs, Effects out) {
        int from = Math.max(0, read.fromItem());
        if (from >= file.itemCount() || read.limit() <= 0) {
            replies.reply(origin, command, new FilePage(List.of(), from, from >= file.itemCount()), nowMs, out);
            return;
        }
        List<RecordPosition> positions = file.pages().covering(from, from);
        Function<SortedMap<RecordPosition, BatchRecord>, CallerReply> page =
                records -> filePage(file, from, read.limit(), records);
        context.reads().read(partition, positions, new PageListener(origin, command, page), nowMs, out);
    }

    void readResults(
            HostId origin, ForwardedCommand command, StoredJob job, ReadResults read, long nowMs, Effects out) {
        int from = Math.max(0, read.fromItem());
        List<Integer> finished = finishedItems(job, from, Math.min(read.limit(), MAX_ITEMS_PER_PAGE));
        if (finished.isEmpty()) {
            int next = job.nextFinished(from);
            boolean complete = job.ended() && next >= job.terms().total();
            replies.reply(origin, command, new ResultPage(List.of(), next, complete), nowMs, out);
            return;
        }
        RecordPages pages = job.results().overlapping(finished.get(0), finished.get(finished.size() - 1));
        SortedSet<RecordPosition> positions = new TreeSet<>();
        List<Integer> items = readableItems(finished, pages, positions);
        List<RecordPosition> inOrder = pages.covering(items.get(0), items.get(items.size() - 1)).stream()
                .filter(positions::contains)
                .toList();
        Function<SortedMap<RecordPosition, BatchRecord>, CallerReply> page =
                records -> resultPage(job, items, inOrder, records);
        context.reads().read(partition, positions, new PageListener(origin, command, page), nowMs, out);
    }

    private static List<Integer> finishedItems(StoredJob job, int from, int limit) {
        List<Integer> items = new ArrayList<>();
        int item = job.nextFinished(from);
        while (item < job.terms().total() && items.size() < limit) {
            items.add(item);
            item = job.nextFinished(item + 1);
        }
        return items;
    }

    /** Returns the leading items whose results one read can return, and adds the positions of their records. */
    private static List<Integer> readableItems(
            List<Integer> finished, RecordPages pages, SortedSet<RecordPosition> positions) {
        List<Integer> items = new ArrayList<>();
        for (int item : finished) {
            List<RecordPosition> covering = pages.covering(item, item);
            if (!items.isEmpty() && countWith(positions, covering) > MAX_RECORDS_PER_PAGE) {
                return items;
            }
            positions.addAll(covering);
            items.add(item);
        }
        return items;
    }

    private CallerReply filePage(StoredFile file, int from, int limit, SortedMap<RecordPosition, BatchRecord> records) {
        if (records.isEmpty()) {
            return expired();
        }
        BatchRecord record = records.get(records.firstKey());
        int firstItem = record.getItemsAdded().getFirstItem();
        int end = firstItem + record.getItemsAdded().getLinesCount();
        List<ByteString> lines = new ArrayList<>();
        long bytes = 0;
        for (int item = from; item < end && lines.size() < limit; item++) {
            ByteString line = record.getItemsAdded().getLines(item - firstItem);
            bytes += line.size();
            if (!lines.isEmpty() && bytes > context.limits().maxPageBytes()) {
                break;
            }
            lines.add(line);
        }
        int next = from + lines.size();
        return new FilePage(lines, next, next >= file.itemCount());
    }

    private CallerReply resultPage(
            StoredJob job,
            List<Integer> items,
            List<RecordPosition> inOrder,
            SortedMap<RecordPosition, BatchRecord> records) {
        SortedMap<Integer, ItemResult> results = new TreeMap<>();
        for (RecordPosition position : inOrder) {
            BatchRecord record = records.get(position);
            if (record == null) {
                return expired();
            }
            record.getItemsFinished().getResultsList().forEach(result -> results.putIfAbsent(result.getItem(), result));
        }
        List<ResultLine> lines = new ArrayList<>();
        long bytes = 0;
        for (int item : items) {
            ItemResult result = results.get(item);
            bytes += result.getBody().size();
            if (!lines.isEmpty() && bytes > context.limits().maxPageBytes()) {
                break;
            }
            lines.add(BatchRecords.resultLine(result));
        }
        int next = job.nextFinished(lines.get(lines.size() - 1).item() + 1);
        boolean complete = job.ended() && next >= job.terms().total();
        return new ResultPage(lines, next, complete);
    }

    private static int countWith(SortedSet<RecordPosition> positions, List<RecordPosition> more) {
        return positions.size()
                + (int) more.stream()
                        .filter(position -> !positions.contains(position))
                        .count();
    }

    private static Refusal expired() {
        return Refusal.notRun(RefusalCode.NOT_FOUND, "the requested items are past their retention");
    }

    /** Replies to the command that requested a page. */
    private final class PageListener implements BodyReads.BodyListener {

        private final HostId origin;
        private final ForwardedCommand command;
        private final Function<SortedMap<RecordPosition, BatchRecord>, CallerReply> page;

        PageListener(
                HostId origin,
                ForwardedCommand command,
                Function<SortedMap<RecordPosition, BatchRecord>, CallerReply> page) {
            this.origin = origin;
            this.command = command;
            this.page = page;
        }

        @Override
        public void recordsRead(SortedMap<RecordPosition, BatchRecord> records, long nowMs, Effects out) {
            replies.reply(origin, command, page.apply(records), nowMs, out);
        }

        @Override
        public void recordsUnavailable(long nowMs, Effects out) {
            String message = "the log does not respond, so nothing can be read from it";
            Refusal refusal = Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
            replies.reply(origin, command, refusal, nowMs, out);
        }
    }
}
