package org.cornelcrank.server;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import org.slf4j.LoggerFactory;

/**
 * Selects the format of the process's log lines: JSON on standard output, or text on standard error.
 *
 * <p>The text format is active until the settings are read, since libraries may log before that. Configured by code, as
 * reading configuration files is a large part of the time that a process takes to start. Not thread-safe: used while
 * the process starts.
 */
final class LogFormat {

    private static final String TEXT = "text";
    private static final String JSON = "json";
    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5level [%thread] %logger{24} %msg%n";
    private static final int MAX_QUEUED_LINES = 2_048;

    /** The libraries that log each fault of a peer as an error of their own, which the daemon's lines state already. */
    private static final String[] LIBRARIES = {"io.netty", "reactor"};

    private static String firstFormat;

    private LogFormat() {}

    /** Selects the text format for the first log lines; must be called before anything is logged. */
    static void useText() {
        firstFormat = TEXT;
    }

    /**
     * Selects the format of all further log lines.
     *
     * @throws IllegalArgumentException if the format is neither "json" nor "text"
     */
    static void use(String format) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        configure(format, context);
    }

    /** Configures a new context with the format for the first lines, if one was selected; returns whether it was. */
    static boolean configureFirst(LoggerContext context) {
        if (firstFormat == null) {
            return false;
        }
        configure(firstFormat, context);
        return true;
    }

    private static void configure(String format, LoggerContext context) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        switch (format) {
            case JSON -> {
                root.addAppender(async(console(ConsoleTarget.SystemOut, jsonEncoder(), context), context));
                setLibraryLevel(Level.ERROR, context);
            }
            case TEXT -> {
                root.addAppender(console(ConsoleTarget.SystemErr, textEncoder(context), context));
                setLibraryLevel(Level.WARN, context);
            }
            default -> throw new IllegalArgumentException("format must be json or text but was " + format);
        }
    }

    private static void setLibraryLevel(Level level, LoggerContext context) {
        for (String library : LIBRARIES) {
            context.getLogger(library).setLevel(level);
        }
    }

    private static Encoder<ILoggingEvent> jsonEncoder() {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithFormattedMessage(true);
        return encoder;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        return encoder;
    }

    private static Appender<ILoggingEvent> console(
            ConsoleTarget target, Encoder<ILoggingEvent> encoder, LoggerContext context) {
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setName("CONSOLE");
        console.setContext(context);
        console.setTarget(target.getName());
        console.setEncoder(encoder);
        console.start();
        return console;
    }

    private static Appender<ILoggingEvent> async(Appender<ILoggingEvent> target, LoggerContext context) {
        CountingAsyncAppender async = new CountingAsyncAppender();
        async.setName("ASYNC");
        async.setContext(context);
        async.setQueueSize(MAX_QUEUED_LINES);
        async.setDiscardingThreshold(0);
        async.setNeverBlock(true);
        async.addAppender(target);
        async.start();
        return async;
    }
}
