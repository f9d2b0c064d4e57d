package org.cornelcrank.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Passes the bytes of a response to the decoder only once their syntax was checked, line by line.
 *
 * <p>The check precedes the decoder, as that cuts and joins what it does not understand. Invariants: nothing behind an
 * invalid line is passed on, and its connection is closed; at most one incomplete line is held. Not thread-safe: confined
 * to the connection's event loop.
 */
final class ResponseValidator extends ByteToMessageDecoder {

    /** Maximum length of a line in bytes: the decoder accepts no longer heads. */
    static final int MAX_LINE_BYTES = 8 * 1024;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int SWITCHING_PROTOCOLS = 101;

    private final ResponseFraming framing = new ResponseFraming();
    private Part part = Part.STATUS_LINE;
    private int status;
    private long remainingBytes;

    /** What is expected next. */
    private enum Part {
        STATUS_LINE,
        FIELDS,
        BODY_OF_LENGTH,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        NOTHING
    }

    /** Begins a new exchange on a connection whose last one, if any, has ended. */
    void expectResponse() {
        if (part != Part.NOTHING) {
            part = Part.STATUS_LINE;
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (part == Part.NOTHING) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int start = in.readerIndex();
        int end = start;
        try {
            for (int next = check(in, end); next > end; next = check(in, end)) {
                end = next;
            }
        } catch (MalformedResponseException e) {
            part = Part.NOTHING;
            in.skipBytes(in.readableBytes());
            context.fireExceptionCaught(e);
            context.close();
            return;
        }
        if (end > start) {
            out.add(in.readRetainedSlice(end - start));
        }
    }

    /** Returns the index behind the bytes that are valid from an index on; that index if more bytes are needed. */
    private int check(ByteBuf in, int start) {
        if (start == in.writerIndex()) {
            return start;
        }
        return switch (part) {
            case STATUS_LINE, FIELDS, CHUNK_SIZE, CHUNK_END, TRAILERS -> checkLine(in, start);
            case BODY_OF_LENGTH, CHUNK -> skipBody(in, start);
            case BODY_UNTIL_CLOSE -> in.writerIndex();
            case NOTHING -> throw new IllegalStateException("nothing must be checked behind an invalid line");
        };
    }

    private int skipBody(ByteBuf in, int start) {
        int length = (int) Math.min(remainingBytes, in.writerIndex() - start);
        remainingBytes -= length;
        if (remainingBytes == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.STATUS_LINE;
        }
        return start + length;
    }

    private int checkLine(ByteBuf in, int start) {
        int lineFeed = in.indexOf(start, in.writerIndex(), (byte) '\n');
        if (lineFeed < 0) {
            requireLength(in.writerIndex() - start);
            return start;
        }
        requireLength(lineFeed - start);
        int end = lineFeed - 1;
        if (end < start || in.getByte(end) != '\r') {
            throw new MalformedResponseException(
                    "a line must end in CR LF but was " + ResponseLines.quoted(in, start, lineFeed));
        }
        onLine(in, start, end);
        return lineFeed + 1;
    }

    private static void requireLength(int lineBytes) {
        if (lineBytes > MAX_LINE_BYTES) {
            throw new MalformedResponseException("a line must have at most " + MAX_LINE_BYTES + " bytes");
        }
    }

    private void onLine(ByteBuf in, int start, int end) {
        boolean empty = start == end;
        switch (part) {
            case STATUS_LINE -> onStatusLine(in, start, end);
            case CHUNK_SIZE -> onChunkSize(in, start, end);
            case CHUNK_END -> onChunkEnd(in, start, end);
            case FIELDS -> {
                if (empty) {
                    onHeadEnd();
                } else {
                    framing.addField(in, start, ResponseLines.fieldNameEnd(in, start, end), end);
                }
            }
            case TRAILERS -> {
                if (empty) {
                    part = Part.STATUS_LINE;
                } else {
                    ResponseLines.fieldNameEnd(in, start, end);
                }
            }
            default -> throw new IllegalStateException("a line must be expected but was " + part);
        }
    }

    private void onStatusLine(ByteBuf in, int start, int end) {
        status = ResponseLines.status(in, start, end);
        if (status == SWITCHING_PROTOCOLS) {
            throw new MalformedResponseException("the response must not switch protocols, as no request asks for that");
        }
        framing.begin(status, ResponseLines.isVersion10(in, start));
        part = Part.FIELDS;
    }

    private void onHeadEnd() {
        framing.requireConsistent();
        remainingBytes = framing.lengthBytes();
        if (status < FIRST_FINAL_STATUS || remainingBytes == 0) {
            part = Part.STATUS_LINE;
        } else if (framing.chunked()) {
            part = Part.CHUNK_SIZE;
        } else {
            part = remainingBytes == ResponseFraming.NO_LENGTH ? Part.BODY_UNTIL_CLOSE : Part.BODY_OF_LENGTH;
        }
    }

    private void onChunkSize(ByteBuf in, int start, int end) {
        remainingBytes = ResponseLines.chunkSize(in, start, end);
        part = remainingBytes == 0 ? Part.TRAILERS : Part.CHUNK;
    }

    private void onChunkEnd(ByteBuf in, int start, int end) {
        if (start != end) {
            throw new MalformedResponseException(
                    "a chunk must end in CR LF but was followed by " + ResponseLines.quoted(in, start, end));
        }
        part = Part.CHUNK_SIZE;
    }
}
