package org.cornelcrank.server;

import java.io.IOException;

import org.cornelcrank.server.settings.DaemonSettings;
import org.cornelcrank.server.settings.DaemonSettingsParser;
import reactor.netty.ChannelBindException;

/**
 * The program {@code cornelcrankd}.
 *
 * <p>Exit codes: 0 stopped as asked, 1 could not start, 2 bad settings.
 */
public final class CornelcrankDaemon {

    private static final int STOPPED_AS_ASKED = 0;
    private static final int COULD_NOT_START = 1;
    private static final int BAD_SETTINGS = 2;

    private CornelcrankDaemon() {}

    /**
     * Runs the daemon until it is asked to stop.
     *
     * @param args the flags
     */
    public static void main(String[] args) {
        LogFormat.useText();
        DaemonSettingsParser.Result result = DaemonSettingsParser.parse(args, System.getenv());
        if (result instanceof DaemonSettingsParser.Result.HelpAsked help) {
            System.out.print(help.text());
        } else if (result instanceof DaemonSettingsParser.Result.Invalid invalid) {
            invalid.errors().forEach(error -> System.err.println("cornelcrankd: " + error));
            System.err.println("cornelcrankd: see --help");
            System.exit(BAD_SETTINGS);
        } else if (result instanceof DaemonSettingsParser.Result.Valid valid) {
            run(valid.settings());
        }
    }

    private static void run(DaemonSettings settings) {
        LogFormat.use(settings.logFormat());
        try {
            DaemonProcess process = DaemonProcess.start(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process), "cornelcrank-stop"));
            process.awaitEnd();
        } catch (IOException | ChannelBindException e) {
            System.err.println("cornelcrankd: could not start: " + e.getMessage());
            System.exit(COULD_NOT_START);
        }
    }

    /** Stops the daemon, and ends the process with the code for that in place of the signal's. */
    private static void stop(DaemonProcess process) {
        process.stop();
        Runtime.getRuntime().halt(STOPPED_AS_ASKED);
    }
}
