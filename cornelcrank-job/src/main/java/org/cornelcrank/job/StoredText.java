package org.cornelcrank.job;

import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;

/**
 * A text in its stored form: deflated if that makes it shorter.
 *
 * <p>Immutable, thus thread-safe.
 */
record StoredText(ByteString bytes, boolean deflated) {

    /** The limit after inflation, in bytes; protects against corrupt records. */
    private static final int MAX_BYTES = 64 * 1024 * 1024;

    private static final int BUFFER_BYTES = 16 * 1024;

    static StoredText of(ByteString text) {
        ByteString deflated = deflate(text);
        boolean shorter = deflated.size() < text.size();
        return new StoredText(shorter ? deflated : text, shorter);
    }

    ByteString text() throws DataFormatException, IOException {
        return deflated ? inflate(bytes) : bytes;
    }

    static ByteString deflate(ByteString bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes.asReadOnlyByteBuffer());
            deflater.finish();
            ByteString.Output deflated = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                deflated.write(buffer, 0, deflater.deflate(buffer));
            }
            return deflated.toByteString();
        } finally {
            deflater.end();
        }
    }

    static ByteString inflate(ByteString deflated) throws DataFormatException, IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated.asReadOnlyByteBuffer());
            ByteString.Output inflated = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 || inflated.size() > MAX_BYTES) {
                    throw new IOException(
                            "deflated content must be complete and inflate to at most " + MAX_BYTES + " bytes");
                }
                inflated.write(buffer, 0, length);
            }
            return inflated.toByteString();
        } finally {
            inflater.end();
        }
    }
}
