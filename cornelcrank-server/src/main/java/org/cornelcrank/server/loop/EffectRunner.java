package org.cornelcrank.server.loop;

import org.cornelcrank.core.Effect;

/**
 * Executes effects of one kind.
 *
 * <p>Called on the core's thread, so implementations must not block.
 */
public interface EffectRunner {

    /**
     * Executes an effect if it is of this runner's kind.
     *
     * @param effect the effect
     * @return whether the effect is of this runner's kind
     */
    boolean run(Effect effect);
}
