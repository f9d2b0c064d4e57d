package org.cornelcrank.server;

import java.net.URL;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.LoggerFactory;

/**
 * Chooses the format of the process's log lines.
 *
 * <p>The text format is in force before the settings are read, since libraries log while they are checked. Not
 * thread-safe: used while the process starts.
 */
final class LogFormat {

    private static final String TEXT = "text";
    private static final String CONFIGURATION_FILE = "logback.configurationFile";

    private LogFormat() {}

    /** Takes the text format for the first log line and all that follow; called before anything logs. */
    static void useText() {
        System.setProperty(CONFIGURATION_FILE, resource(TEXT));
    }

    /** Takes a format for all lines from now on. */
    static void use(String format) {
        URL configuration = LogFormat.class.getClassLoader().getResource(resource(format));
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JoranConfigurator configurator = new JoranConfigurator();
        configurator.setContext(context);
        try {
            configurator.doConfigure(configuration);
        } catch (JoranException e) {
            throw new IllegalStateException("the log configuration " + configuration + " must be valid", e);
        }
    }

    private static String resource(String format) {
        return "logback-" + format + ".xml";
    }
}
