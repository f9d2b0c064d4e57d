package org.cornelcrank.partition;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.partition.wire.CarriedRecord;
import org.cornelcrank.partition.wire.Group;
import org.cornelcrank.partition.wire.Record;

/**
 * Finds the payloads of single records in groups.
 *
 * <p>Stateless, thus thread-safe.
 */
final class GroupBodies {

    private GroupBodies() {}

    /** Returns the payload at the index, empty if there is none there or it is another slice's. */
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
