package org.cornelcrank.server;

import java.io.IOException;
import java.util.Arrays;

import org.cornelcrank.server.settings.DaemonSettings;
import org.cornelcrank.server.settings.DaemonSettingsParser;
import org.cornelcrank.server.settings.GatewaySettings;
import org.cornelcrank.server.settings.GatewaySettingsParser;
import org.cornelcrank.server.settings.SettingsResult;
import reactor.netty.ChannelBindException;
import sun.misc.Signal;

/**
 * The program {@code cornelcrankd}.
 *
 * <p>Exit codes: 0 stopped as asked, 1 could not start, 2 bad settings.
 */
public final class CornelcrankDaemon {

    private static final int STOPPED_AS_ASKED = 0;
    private static final int COULD_NOT_START = 1;
    private static final int BAD_SETTINGS = 2;

    private static final String GATEWAY = "gateway";

    private CornelcrankDaemon() {}

    /**
     * Runs the daemon until it is asked to stop.
     *
     * @param args the flags
     */
    public static void main(String[] args) {
        LogFormat.useText();
        if (args.length > 0 && args[0].equals(GATEWAY)) {
            String[] flags = Arrays.copyOfRange(args, 1, args.length);
            start(GatewaySettingsParser.parse(flags, System.getenv()), CornelcrankDaemon::runGateway);
        } else {
            start(DaemonSettingsParser.parse(args, System.getenv()), CornelcrankDaemon::run);
        }
    }

    private static <S> void start(SettingsResult<S> result, Program<S> program) {
        if (result instanceof SettingsResult.HelpAsked<S> help) {
            System.out.print(help.text());
        } else if (result instanceof SettingsResult.Invalid<S> invalid) {
            invalid.errors().forEach(error -> System.err.println("cornelcrankd: " + error));
            System.err.println("cornelcrankd: see --help");
            System.exit(BAD_SETTINGS);
        } else if (result instanceof SettingsResult.Valid<S> valid) {
            try {
                program.run(valid.settings());
            } catch (IOException | ChannelBindException e) {
                System.err.println("cornelcrankd: could not start: " + e.getMessage());
                System.exit(COULD_NOT_START);
            }
        }
    }

    private static void run(DaemonSettings settings) throws IOException {
        LogFormat.use(settings.logFormat());
        DaemonProcess process = DaemonProcess.start(settings);
        stopAtShutdown(process::stop);
        process.awaitEnd();
    }

    private static void runGateway(GatewaySettings settings) throws IOException {
        LogFormat.use(settings.logFormat());
        GatewayProcess process = GatewayProcess.start(settings);
        Signal.handle(new Signal("HUP"), signal -> process.reload());
        stopAtShutdown(process::stop);
        process.awaitEnd();
    }

    /** Stops the daemon on a signal, and ends the process with the code for that in place of the signal's. */
    private static void stopAtShutdown(Runnable stop) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stop.run();
                            Runtime.getRuntime().halt(STOPPED_AS_ASKED);
                        },
                        "cornelcrank-stop"));
    }

    /** Runs a daemon with its settings until it has ended. */
    private interface Program<S> {
        void run(S settings) throws IOException;
    }
}
