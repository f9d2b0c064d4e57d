package org.cornelcrank.server.loop;

import org.cornelcrank.core.Effect;

/**
 * Carries out effects of one kind.
 *
 * <p>Called on the core's thread; must not block.
 */
public interface EffectRunner {

    /**
     * Carries out an effect if it is of this runner's kind.
     *
     * @param effect the effect
     * @return whether it was
     */
    boolean run(Effect effect);
}
