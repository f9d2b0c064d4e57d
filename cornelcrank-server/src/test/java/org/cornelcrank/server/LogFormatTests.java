package org.cornelcrank.server;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

class LogFormatTests {

    @AfterEach
    void restore() {
        LogFormat.use("test");
    }

    @Test
    void formatChangesAfterLinesWereLogged() {
        LoggerFactory.getLogger(LogFormatTests.class).debug("a line before the settings are read");
        LogFormat.use("json");
        assertThat(appender().getEncoder()).isInstanceOf(JsonEncoder.class);
        LogFormat.use("text");
        assertThat(appender().getEncoder()).isNotInstanceOf(JsonEncoder.class);
    }

    private static OutputStreamAppender<ILoggingEvent> appender() {
        Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        CountingAsyncAppender async = (CountingAsyncAppender) root.getAppender("ASYNC");
        return (OutputStreamAppender<ILoggingEvent>) (async == null ? root : async).getAppender("CONSOLE");
    }
}
