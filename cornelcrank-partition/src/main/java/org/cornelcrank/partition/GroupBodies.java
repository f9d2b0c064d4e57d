package org.cornelcrank.partition;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.partition.wire.CarriedRecord;
import org.cornelcrank.partition.wire.Group;
import org.cornelcrank.partition.wire.Record;

/**
 * Finds the payloads of individual records in groups.
 *
 * <p>Stateless, thus thread-safe.
 */
final class GroupBodies {

    private GroupBodies() {}

    /** Returns the payload at the index, empty if there is no record or if it belongs to another slice. */
    static Optional<ByteString> payload(Group group, int index, String slice) {
        if (index < group.getRecords().getRecordsCount()) {
            Record record = group.getRecords().getRecords(index);
            return record.getSlice().equals(slice) ? Optional.of(record.getPayload()) : Optional.empty();
        }
        if (index < group.getCarried().getRecordsCount()) {
            CarriedRecord record = group.getCarried().getRecords(index);
            return record.getSlice().equals(slice) ? Optional.of(record.getPayload()) : Optional.empty();
        }
        return Optional.empty();
    }
}
