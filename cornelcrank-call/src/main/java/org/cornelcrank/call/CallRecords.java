package org.cornelcrank.call;

import com.google.protobuf.ByteString;
import org.cornelcrank.call.wire.CallFinishedRecord;
import org.cornelcrank.call.wire.CallIntendedRecord;
import org.cornelcrank.call.wire.CallNotRunRecord;
import org.cornelcrank.call.wire.CallRecord;
import org.cornelcrank.call.wire.GuardsExpiredRecord;
import org.cornelcrank.partition.DurableRecord;

/**
 * Creates the durable records of guarded calls.
 *
 * <p>Stateless, thus thread-safe.
 */
final class CallRecords {

    static final String SLICE = "call";

    private CallRecords() {}

    static DurableRecord intended(CallKey key, String run, ByteString digest) {
        return record(CallRecord.newBuilder()
                .setIntended(CallIntendedRecord.newBuilder()
                        .setTeam(key.team())
                        .setKey(key.key())
                        .setRun(run)
                        .setDigest(digest)));
    }

    /** Returns the record of a response, without its body if that exceeds the given size. */
    static DurableRecord finished(CallKey key, String run, ServiceResponse response, int maxBodyBytes) {
        boolean bodyDropped = response.body().size() > maxBodyBytes;
        return record(CallRecord.newBuilder()
                .setFinished(CallFinishedRecord.newBuilder()
                        .setTeam(key.team())
                        .setKey(key.key())
                        .setRun(run)
                        .setStatus(response.status())
                        .setContentType(response.contentType())
                        .setBody(bodyDropped ? ByteString.EMPTY : response.body())
                        .setBodyDropped(bodyDropped)));
    }

    static DurableRecord notRun(CallKey key, String run) {
        return record(CallRecord.newBuilder()
                .setNotRun(CallNotRunRecord.newBuilder()
                        .setTeam(key.team())
                        .setKey(key.key())
                        .setRun(run)));
    }

    static DurableRecord expired(long intendedBeforeMs) {
        return record(CallRecord.newBuilder()
                .setExpired(GuardsExpiredRecord.newBuilder().setIntendedBeforeMs(intendedBeforeMs)));
    }

    private static DurableRecord record(CallRecord.Builder record) {
        return new DurableRecord(SLICE, record.build().toByteString());
    }
}
