package org.cornelcrank.server;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging when the first logger is requested, if {@link LogFormat} has selected a format by then; Logback's
 * own configuration files apply otherwise.
 *
 * <p>Loaded by Logback as a service. Stateless, thus thread-safe.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        return LogFormat.configureFirst(context)
                ? ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
                : ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
}
