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
 * Main class of the program {@code cornelcrankd}.
 *
 * <p>Exit codes: 0 stopped on request, 1 could not start, 2 invalid settings, 3 out of memory.
 */
public final class CornelcrankDaemon {

    private static final int STOPPED = 0;
    private static final int COULD_NOT_START = 1;
    private static final int INVALID_SETTINGS = 2;

    private static final String GATEWAY_COMMAND = "gateway";

    private CornelcrankDaemon() {}

    /**
     * Runs the daemon until it is told to stop.
     *
     * @param args the command line arguments
     */
    public static void main(String[] args) {
        LogFormat.useText();
        if (args.length > 0 && args[0].equals(GATEWAY_COMMAND)) {
            String[] flags = Arrays.copyOfRange(args, 1, args.length);
            start(GatewaySettingsParser.parse(flags, System.getenv()), CornelcrankDaemon::runGateway);
        } else {
            start(DaemonSettingsParser.parse(args, System.getenv()), CornelcrankDaemon::run);
        }
    }

    private static <S> void start(SettingsResult<S> result, Program<S> program) {
        if (result instanceof SettingsResult.HelpRequested<S> help) {
            System.out.print(help.text());
        } else if (result instanceof SettingsResult.Invalid<S> invalid) {
            invalid.errors().forEach(error -> System.err.println("cornelcrankd: " + error));
            System.err.println("cornelcrankd: see --help");
            System.exit(INVALID_SETTINGS);
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
        // Without a handler the signal would end the daemon, so the handler comes before the first listener.
        Signal.handle(new Signal("HUP"), signal -> GatewayProcess.reload(settings));
        GatewayProcess process = GatewayProcess.start(settings);
        stopAtShutdown(process::stop);
        process.awaitEnd();
    }

    /**
     * Stops the daemon on a signal; the process exits with the code of a requested stop instead of the signal's code.
     */
    private static void stopAtShutdown(Runnable stop) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stop.run();
                            Runtime.getRuntime().halt(STOPPED);
                        },
                        "cornelcrank-stop"));
    }

    /** Runs a daemon with the given settings until it ends. */
    private interface Program<S> {
        void run(S settings) throws IOException;
    }
}
