package org.cornelcrank.server;

import java.net.URL;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.LoggerFactory;

/**
 * Selects the format of the process's log lines.
 *
 * <p>The text format is active until the settings are read, since libraries may log before that. Not thread-safe: used
 * while the process starts.
 */
final class LogFormat {

    private static final String TEXT = "text";
    private static final String CONFIGURATION_FILE = "logback.configurationFile";

    private LogFormat() {}

    /** Selects the text format for the first log lines; must be called before anything is logged. */
    static void useText() {
        System.setProperty(CONFIGURATION_FILE, resource(TEXT));
    }

    /** Selects the format of all further log lines. */
    static void use(String format) {
        URL configuration = LogFormat.class.getClassLoader().getResource(resource(format));
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JoranConfigurator configurator = new JoranConfigurator();
        configurator.setContext(context);
        try {
            configurator.doConfigure(configuration);
        } catch (JoranException e) {
            throw new IllegalStateException("log configuration " + configuration + " must be valid", e);
        }
    }

    private static String resource(String format) {
        return "logback-" + format + ".xml";
    }
}
